package loadbalancer.simulation.fuzz;

import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.FullHttpMessage;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.util.ReferenceCountUtil;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.function.LongSupplier;
import loadbalancer.balancing.Balancer.UpstreamState;
import loadbalancer.grpc.mapping.GrpcTimeout;
import loadbalancer.grpc.mapping.OrcaLoadReport;
import loadbalancer.http1.LoadReportParser;
import loadbalancer.http1.StrictDecoders;
import loadbalancer.json.JsonObject;
import loadbalancer.membership.Endpoint;
import loadbalancer.membership.EndpointList;
import loadbalancer.membership.ListSource;
import loadbalancer.membership.discovery.DiscoveryListFormat;
import loadbalancer.membership.disk.EndpointListFile;
import loadbalancer.operator.OperatorFile;
import loadbalancer.simulation.scenario.ScenarioFile;
import loadbalancer.toml.ConfigurationException;
import loadbalancer.toml.ConfigurationTable;
import loadbalancer.trace.SpanContext;
import org.apache.commons.rng.simple.RandomSource;

/**
 * Tries all that reads what others wrote: it takes it or says in its own way that it does not, soon, and believes nothing that it
 * must not. A corpus is changed by a seed; what breaks is told as bytes that break it again. HTTP/2's frames are read by Netty
 * alone, peers' words by the module, which a world garbles.
 */
public final class ParserFuzzer {
    /** Longer than any text of this size may take on a slow machine. */
    private static final long MOST_MS = 2_000;

    private static final String SLOW = "it took ";

    /** What reads; an exception that is not its own way of saying no is a find. */
    interface Target {
        void read(byte[] text) throws Exception;
    }

    /** @param base64 the text that broke it */
    public record Find(String target, long run, String what, String base64) {}

    private record Named(String name, Target target, List<byte[]> corpus, String words) {}

    private static final String WORDS =
            "\r\n|\n|:|,|;|=|\"|{|}|[|]|0|-1|999999999999999999999|1e999|NaN|null|true|\\u0000|\t| |../|%00";

    private ParserFuzzer() {}

    /** The names of what can be tried. */
    public static List<String> targets() {
        return all().stream().map(Named::name).toList();
    }

    /** @param seed the same seed and number try the same texts; each target has its own */
    public static List<Find> play(String target, long seed, long runs) {
        Named of = all().stream().filter(n -> n.name.equals(target)).findFirst().orElseThrow();
        List<byte[]> words = new ArrayList<>();
        for (String w : (WORDS + "|" + of.words).split("\\|")) {
            words.add(w.getBytes(StandardCharsets.UTF_8));
        }
        Mutator mutator = new Mutator(
                of.corpus, words, RandomSource.XO_RO_SHI_RO_128_PP.create(new long[] {seed, target.hashCode()}));
        List<Find> finds = new ArrayList<>();
        for (long run = 0; run < runs && finds.size() < 10; run++) {
            byte[] text = mutator.next();
            String what = broken(of.target, System::nanoTime, text);
            if (!what.isEmpty()) {
                finds.add(new Find(
                        target, run, what, java.util.Base64.getEncoder().encodeToString(text)));
            }
        }
        return finds;
    }

    /** What one text does to one target; empty where it is taken, or refused as it should be. */
    public static String broken(String target, byte[] text) {
        return broken(
                all().stream().filter(n -> n.name.equals(target)).findFirst().orElseThrow().target,
                System::nanoTime,
                text);
    }

    /** A machine that stands still makes anything late: what is slow is so twice. */
    static String broken(Target target, LongSupplier nanos, byte[] text) {
        String what = once(target, nanos, text);
        return what.startsWith(SLOW) ? once(target, nanos, text) : what;
    }

    private static String once(Target target, LongSupplier nanos, byte[] text) {
        long begun = nanos.getAsLong();
        try {
            target.read(text);
        } catch (ConfigurationException | IllegalArgumentException | IOException exception) {
            // It says no.
            if (exception instanceof NumberFormatException) {
                return exception.toString();
            }
            if (exception.getMessage() == null
                    || exception instanceof ConfigurationException
                            && exception.getMessage().indexOf('\n') >= 0) {
                return "it says no without a word, or in several lines: " + exception;
            }
        } catch (Exception | StackOverflowError | OutOfMemoryError | AssertionError e) {
            return e + (e.getStackTrace().length == 0 ? "" : " at " + e.getStackTrace()[0]);
        }
        long tookMs = (nanos.getAsLong() - begun) / 1_000_000;
        return tookMs > MOST_MS ? SLOW + tookMs + " ms" : "";
    }

    private static List<byte[]> corpus(String... texts) {
        return java.util.Arrays.stream(texts)
                .map(t -> t.getBytes(StandardCharsets.UTF_8))
                .toList();
    }

    private static List<Named> all() {
        String entry =
                "{\"instanceId\":\"n1\",\"hostPort\":\"10.1.0.18:8081\",\"zone\":\"a\",\"machineType\":\"m\",\"cell\":3,\"lifecycle\":\"Ready\","
                        + "\"weight\":1.0,\"startedAtMs\":1700000000000,\"grpcPort\":9000}";
        String list = "{\"generation\":41,\"reset\":true,\"instances\":[" + entry + ","
                + entry.replace("n1", "n2").replace("Ready", "Gone") + "]}";
        EndpointList kept = DiscoveryListFormat.read(
                JsonObject.parse(list.getBytes(StandardCharsets.UTF_8)), ListSource.DISK, 1_700_000_000_000_000L);
        byte[] file = new EndpointListFile(7, kept).encode("f");
        String operator =
                "[membership]\nfresh = \"30s\"\n[membership.disk]\nfolder = \"/x\"\nfleet = \"f\"\n[grpc]\nlisten = \"127.0.0.1:1\"\n"
                        + "[[grpc.method]]\nname = \"a.B/C\"\nclass = \"c\"\n[grpc.other]\nclass = \"c\"\n[zones]\naway = [\"a\"]\n[[zones.tier]]\nzones = [\"b\"]\n"
                        + "[subset]\nleast = 5\nrequests_per_node = 2.5\n[traces]\n[traces.file]\nfolder = \"/t\"\n[log]\nformat = \"json\"\n";
        String scenario =
                "about = \"x\"\n[fleet]\nnodes = 3\nlength = \"9s\"\n[nodes]\ncold_share = 0.2\n[[event]]\nat = \"1s\"\ndo = \"crash\"\nnodes = [1]\n"
                        + "[expect]\nserved = 0.9\n[operator.zones]\n";
        return List.of(
                new Named(
                        "http1-requests",
                        t -> http(t, true),
                        corpus(
                                "POST /api HTTP/1.1\r\nHost: a\r\nX-Txn: 1\r\nContent-Length: 4\r\n\r\nabcd",
                                "GET /a?b HTTP/1.1\r\nHost: a\r\nCookie: k=1\r\n\r\n",
                                "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nabcd\r\n0\r\n\r\n"),
                        "Content-Length: 5\r\n|Transfer-Encoding: chunked\r\n|HTTP/1.0|\r\n\r\n|ffffffff\r\n"),
                new Named(
                        "http1-answers",
                        t -> http(t, false),
                        corpus(
                                "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nX-Pressure: TEXT inflight=7\r\n\r\nok",
                                "HTTP/1.1 503 No\r\nX-Turned-Away: 1\r\nContent-Length: 0\r\n\r\n",
                                "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n"),
                        "Content-Length: 5\r\n|Transfer-Encoding: chunked\r\n|HTTP/1.1 100 Continue\r\n\r\n|204|304"),
                new Named(
                        "registry",
                        t -> list(DiscoveryListFormat.read(JsonObject.parse(t), ListSource.DISCOVERY, 1)),
                        corpus(list, list.replace("true", "false")),
                        "Terminating|hostPort|grpcPort|generation|:0|:65536|[::1]:80"),
                new Named(
                        "disk",
                        t -> list(EndpointListFile.decode(t, "f").list()),
                        List.of(file, file.clone()),
                        "bridgecleat-list 1|number=|length=|crc32c="),
                new Named(
                        "operator",
                        t -> OperatorFile.read(ConfigurationTable.parse("f", text(t), Map.of())),
                        corpus(operator),
                        "[|]]|'''|\"1h\"|inf|0x1|1979-05-27"),
                new Named(
                        "scenario",
                        t -> ScenarioFile.parse("f", text(t), Map.of()),
                        corpus(scenario),
                        "[|]]|'''|\"1h\"|base = \"calm\"\n|inf|[instead]\n"),
                new Named(
                        "load-reports",
                        t -> LoadReportParser.parse(text(t)),
                        corpus("TEXT inflight=7, queue=2, util=0.61"),
                        "inflight=|1e308|-0|Infinity"),
                new Named(
                        "orca",
                        t -> {
                            OrcaLoadReport.text(text(t));
                            OrcaLoadReport.binary(text(t));
                        },
                        corpus(
                                "cpu_utilization=0.3, named_metrics.queue=2",
                                "CQAAAAAAAOA/",
                                "TEXT named_metrics.inflight=3"),
                        "named_metrics.|==|utilization."),
                new Named(
                        "grpc-timeouts",
                        t -> GrpcTimeout.parse(text(t)),
                        corpus("100m", "99999999H", "1S"),
                        "n|u|M|H|S|99999999"),
                new Named(
                        "traceparent",
                        t -> SpanContext.parse(List.of(text(t)), List.of(text(t))),
                        corpus("00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01", "a=b,c@d=e"),
                        "00-|-00|ff-|@|="));
    }

    private static String text(byte[] t) {
        return new String(t, StandardCharsets.UTF_8);
    }

    /** What a list claims must be what the rest may rely on. */
    private static void list(EndpointList l) {
        for (Endpoint m : l.endpoints()) {
            loadbalancer.core.Addresses.parse(m.address());
            if (m.upstream().id() == null
                    || m.upstream().state() == UpstreamState.READY
                            && m.upstream().zone() == null) {
                throw new AssertionError("a member without a name");
            }
        }
    }

    /** Whole messages are all that may come of it, none of them with two framings; the rest is refused. */
    private static void http(byte[] text, boolean requests) {
        EmbeddedChannel channel = new EmbeddedChannel(
                requests ? StrictDecoders.requestDecoder() : StrictDecoders.responseDecoder(),
                new HttpObjectAggregator(65_536));
        try {
            channel.writeInbound(Unpooled.wrappedBuffer(text));
            channel.finish();
        } catch (RuntimeException exception) {
            if (!(exception instanceof IllegalArgumentException
                    || exception instanceof io.netty.handler.codec.CodecException)) {
                throw exception;
            }
        } finally {
            for (Object m; (m = channel.readInbound()) != null; ) {
                boolean two = m instanceof FullHttpMessage f
                        && f.decoderResult().isSuccess()
                        && f.headers().getAll("Content-Length").size() > 1;
                ReferenceCountUtil.release(m);
                if (two) {
                    throw new AssertionError("a message with two lengths");
                }
            }
            channel.finishAndReleaseAll();
        }
    }
}
