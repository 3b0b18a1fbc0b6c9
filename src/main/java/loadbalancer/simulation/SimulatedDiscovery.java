package loadbalancer.simulation;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Supplier;
import loadbalancer.balancing.Balancer.UpstreamState;
import loadbalancer.json.JsonObject;
import loadbalancer.membership.Endpoint;
import loadbalancer.membership.EndpointList;
import loadbalancer.membership.ListSource;
import loadbalancer.membership.discovery.DiscoveryClient;
import loadbalancer.membership.discovery.DiscoveryListFormat;
import loadbalancer.simulation.scenario.Scenario;

/**
 * Discovery in virtual time: one service for all sidecars, which works through calls in turn, answers watches when something
 * changes, goes down, is late, and is restored from an older state. What it answers are the bytes of the protocol.
 */
final class SimulatedDiscovery {
    /** Changes that it can still tell one by one; who is further behind gets the whole list. */
    private static final int REMEMBERED = 500;

    private static final String HEADER_BYTES =
            "GET /registry/instances HTTP/1.1 Host: discovery HTTP/1.1 200 OK Content-Length: 1234";

    private record Changed(long generation, Endpoint member) {}

    /** What an answer says, and of whom it says that it takes requests. */
    private record Body(byte[] bytes, Map<String, Boolean> ready) {}

    private record State(long atUs, long generation, Map<String, Endpoint> members) {}

    private static final class Call {
        final SimulatedEngine of;
        final DiscoveryClient.ResponseListener result;
        /** What the caller knows; -1 where it asks for the whole list. */
        final long index;

        boolean over;

        Call(SimulatedEngine of, DiscoveryClient.ResponseListener result, long index) {
            this.of = of;
            this.result = result;
            this.index = index;
        }
    }

    private final VirtualTimeline time;
    private final SimulatedFleet world;
    private final Scenario.Registry how;
    private final Map<String, Endpoint> members = new LinkedHashMap<>();
    private final ArrayDeque<Changed> changes = new ArrayDeque<>();
    private final ArrayDeque<State> states = new ArrayDeque<>();
    private final Set<String> everListed = new LinkedHashSet<>();
    private final LinkedHashSet<Call> watches = new LinkedHashSet<>();
    private final Map<Long, Body> bodies = new HashMap<>();
    private long generation = 1;
    private long busyUntilUs;
    private int down;
    private long lateUs;
    /** Calls that came, and bytes of calls and answers. */
    long calls;

    long bytes;

    SimulatedDiscovery(SimulatedFleet world, VirtualTimeline time, Scenario.Registry how) {
        this.world = world;
        this.time = time;
        this.how = how;
    }

    /** Before the world begins: what is listed from the start. */
    void lists(Endpoint m) {
        members.put(m.upstream().id(), m);
        everListed.add(m.upstream().id());
    }

    private void remember() {
        states.addLast(new State(time.now(), generation, new LinkedHashMap<>(members)));
        while (states.size() > REMEMBERED) {
            states.removeFirst();
        }
    }

    /** The list as a sidecar is given it before its start. */
    EndpointList known(long asOfUs) {
        return new EndpointList(ListSource.CONFIGURED, generation, true, asOfUs, new ArrayList<>(members.values()));
    }

    /** Something has changed; discovery looks, and tells of it, when it has noticed. */
    void notice(Supplier<Endpoint> look, boolean silent) {
        time.schedule((silent ? how.silentUs() : how.noticeUs()) + lateUs, () -> change(look.get()));
    }

    void down(boolean is) {
        down += is ? 1 : -1;
        if (down > 0) {
            for (Call c : new ArrayList<>(watches)) {
                fail(c, "the connection ended");
            }
            watches.clear();
        }
    }

    void late(double seconds) {
        lateUs = (long) (seconds * 1e6);
    }

    /** The service is put back to what it knew then, with the version of then. */
    void restore(double secondsAgo) {
        if (states.isEmpty()) {
            return;
        }
        long then = time.now() - (long) (secondsAgo * 1e6);
        State old = states.getFirst();
        for (State s : states) {
            if (s.atUs <= then) {
                old = s;
            }
        }
        members.clear();
        members.putAll(old.members);
        generation = old.generation;
        changes.clear();
        bodies.clear();
        answerWatches();
        // What is there announces itself again, as nodes do that register with a lease.
        time.schedule(how.noticeUs(), world::announceAll);
    }

    /** What it is told it tells, unless it knows that already. */
    void change(Endpoint m) {
        String id = m.upstream().id();
        boolean gone = m.upstream().state() == UpstreamState.GONE;
        if (gone ? !members.containsKey(id) : m.equals(members.get(id))) {
            return;
        }
        if (states.isEmpty()) {
            remember();
        }
        generation++;
        if (gone) {
            members.remove(id);
        } else {
            members.put(id, m);
        }
        everListed.add(id);
        changes.addLast(new Changed(generation, m));
        while (changes.size() > REMEMBERED) {
            changes.removeFirst();
        }
        remember();
        bodies.clear();
        answerWatches();
    }

    private void answerWatches() {
        List<Call> waiting = new ArrayList<>(watches);
        watches.clear();
        waiting.forEach(this::queue);
    }

    /** The way of one sidecar's calls to here. */
    DiscoveryClient of(SimulatedEngine who) {
        return new DiscoveryClient() {
            private Call out;

            @Override
            public void get(String uri, ResponseListener result) {
                Call c = new Call(who, result, index(uri));
                out = c;
                calls++;
                world.calls();
                bytes += uri.length() + HEADER_BYTES.length();
                if (world.cutFromRegistry(who)) {
                    return;
                }
                time.schedule(world.oneWayUs(), () -> arrived(c, waitUs(uri)));
            }

            @Override
            public void disconnect() {
                if (out != null) {
                    out.over = true;
                    watches.remove(out);
                    out = null;
                }
            }
        };
    }

    private static long index(String uri) {
        int at = uri.indexOf("index=");
        return at < 0 ? -1 : Long.parseLong(uri.substring(at + 6, uri.indexOf('&', at)));
    }

    private static long waitUs(String uri) {
        int at = uri.indexOf("wait=");
        return at < 0 ? 0 : Long.parseLong(uri.substring(at + 5)) * 1_000;
    }

    private void arrived(Call c, long waitUs) {
        if (c.over) {
            return;
        }
        if (down > 0) {
            fail(c, "no connection");
        } else if (c.index == generation && waitUs > 0) {
            watches.add(c);
            time.schedule(waitUs, () -> {
                if (watches.remove(c)) {
                    queue(c);
                }
            });
        } else {
            queue(c);
        }
    }

    /** Calls are worked through one after the other. */
    private void queue(Call c) {
        busyUntilUs = Math.max(time.now(), busyUntilUs) + 1_000_000 / how.callsPerSecond();
        time.at(busyUntilUs, () -> answer(c));
    }

    private void answer(Call c) {
        if (c.over || !c.of.alive()) {
            return;
        }
        if (down > 0) {
            fail(c, "status 503");
            return;
        }
        boolean whole = c.index < 0
                || c.index > generation
                || c.index < generation && (changes.isEmpty() || changes.getFirst().generation > c.index + 1);
        Body body = bodies.computeIfAbsent(whole ? -1 : c.index, i -> body(whole, c.index));
        bytes += body.bytes.length;
        time.schedule(world.oneWayUs(), () -> {
            if (!c.over && c.of.alive() && !world.cutFromRegistry(c.of)) {
                c.over = true;
                c.of.listedUs = time.now();
                // The referee hears what the sidecar is told, in the same instant.
                body.ready.forEach((id, ready) -> world.told(c.of, id, ready));
                c.result.onResponse(200, body.bytes, true);
            }
        });
    }

    private Body body(boolean whole, long index) {
        List<Endpoint> entries = whole
                ? new ArrayList<>(members.values())
                : changes.stream()
                        .filter(c -> c.generation > index)
                        .map(Changed::member)
                        .toList();
        Map<String, Boolean> ready = new LinkedHashMap<>();
        if (whole) {
            everListed.forEach(id -> ready.put(id, false));
        }
        entries.forEach(m -> ready.put(m.upstream().id(), m.upstream().state() == UpstreamState.READY));
        Map<String, Object> json = new LinkedHashMap<>();
        json.put("generation", generation);
        json.put("reset", whole);
        json.put("instances", entries.stream().map(DiscoveryListFormat::write).toList());
        return new Body(JsonObject.write(json), ready);
    }

    private void fail(Call c, String why) {
        if (!c.over) {
            time.schedule(world.oneWayUs(), () -> {
                if (!c.over && c.of.alive()) {
                    c.over = true;
                    c.result.onFailure(why);
                }
            });
        }
    }
}
