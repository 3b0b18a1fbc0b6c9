package loadbalancer.wire;

import java.io.BufferedReader;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import loadbalancer.balancing.Balancer.Upstream;

/** Endpoint lists (pages), by number. The simulator sends a page before the events that refer to it. */
final class EndpointPages {
    private static final int MAX_PAGES = 16;

    private final List<List<Upstream>> pages = new ArrayList<>();

    EndpointPages() {
        for (int i = 0; i < MAX_PAGES; i++) {
            pages.add(null);
        }
    }

    /** Reads the rows of a page; {@code header} is its first line. */
    void read(FieldReader header, BufferedReader in) throws IOException {
        int number = (int) header.integer();
        if (number < 0 || number >= pages.size()) {
            throw new WireException("PAGE number " + number + " is out of range");
        }
        long count = header.integer();
        List<Upstream> entries = new ArrayList<>();
        for (long i = 0; i < count; i++) {
            String line = in.readLine();
            if (line == null) {
                throw new WireException("the input ended within a PAGE");
            }
            entries.add(parseRow(line));
        }
        pages.set(number, entries);
    }

    private static Upstream parseRow(String line) {
        FieldReader fields = new FieldReader(line);
        if (!fields.text().equals("ROW")) {
            throw new WireException("expected a ROW line in a PAGE, found '" + line + "'");
        }
        String zone = fields.text();
        String id = fields.text();
        String kind = fields.text();
        int cell = (int) fields.integerOr(-1);
        long startedMicros = fields.integerOr(0);
        double weight = fields.decimalOr(1);
        int state = (int) fields.integer();
        return new Upstream(id, zone, kind, cell, startedMicros, weight, WireValues.upstreamState(state, line));
    }

    /** Returns the endpoint list of page {@code number}. */
    List<Upstream> get(int number) {
        List<Upstream> entries = number >= 0 && number < pages.size() ? pages.get(number) : null;
        if (entries == null) {
            throw new WireException("ANNOUNCE names PAGE " + number + ", which was never sent");
        }
        return entries;
    }
}
