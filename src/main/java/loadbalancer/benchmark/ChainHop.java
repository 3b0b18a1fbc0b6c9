package loadbalancer.benchmark;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.UUID;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.atomic.AtomicLong;

/**
 * A stand-in service in a chain: it calls the next one for each request, or is the last and answers itself. What the next one does not
 * answer with 200 it answers with 500.
 */
final class ChainHop implements AutoCloseable {
    private static final int THREADS = 64;
    private static final int OK = 200;
    private static final int FAILED = 500;
    private static final byte[] BODY = {'o', 'k'};

    static {
        // Head and body go out in two writes: without it each answer waits 40 ms for a delayed acknowledgement.
        System.setProperty("sun.net.httpserver.nodelay", "true");
    }

    private final HttpServer server;
    private final ExecutorService threads = Executors.newFixedThreadPool(THREADS);
    private final HttpClient client = HttpClient.newBuilder()
            .version(HttpClient.Version.HTTP_1_1)
            .executor(threads)
            .build();
    private final AtomicLong requests = new AtomicLong();
    private volatile InetSocketAddress next;
    private volatile boolean failing;

    ChainHop() throws IOException {
        server = HttpServer.create(new InetSocketAddress("127.0.0.1", 0), 0);
        server.setExecutor(threads);
        server.createContext("/", this::answer);
        server.start();
    }

    InetSocketAddress address() {
        return server.getAddress();
    }

    /** Whom it calls for each request from now on; null: nobody. */
    void calls(InetSocketAddress next) {
        this.next = next;
    }

    /** Answers 500 at once from now on, or 200 again. */
    void fails(boolean now) {
        failing = now;
    }

    /** Requests that have come here. */
    long requests() {
        return requests.get();
    }

    private void answer(HttpExchange exchange) throws IOException {
        requests.incrementAndGet();
        int status = failing ? FAILED : next == null ? OK : callNext(exchange);
        exchange.sendResponseHeaders(status, BODY.length);
        try (var body = exchange.getResponseBody()) {
            body.write(BODY);
        }
    }

    private int callNext(HttpExchange exchange) {
        String remaining = exchange.getRequestHeaders().getFirst("X-Remaining-Ms");
        long remainingMs = remaining == null ? 1_000 : Long.parseLong(remaining);
        try {
            return call(client, next, remainingMs) == OK ? OK : FAILED;
        } catch (IOException exception) {
            return FAILED;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return FAILED;
        }
    }

    /** One request of the class that is safe to repeat; its status. */
    static int call(HttpClient client, InetSocketAddress to, long remainingMs)
            throws IOException, InterruptedException {
        HttpRequest request = HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + to.getPort() + "/api"))
                .timeout(Duration.ofMillis(remainingMs))
                .header("X-Txn", UUID.randomUUID().toString().replace("-", "").substring(0, 16))
                .header("X-Lane", ChainRun.LANE)
                .header("X-Remaining-Ms", String.valueOf(remainingMs))
                .GET()
                .build();
        return client.send(request, HttpResponse.BodyHandlers.discarding()).statusCode();
    }

    @Override
    public void close() {
        server.stop(0);
        threads.shutdownNow();
    }
}
