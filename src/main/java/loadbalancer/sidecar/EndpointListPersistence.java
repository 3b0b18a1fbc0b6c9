package loadbalancer.sidecar;

import io.netty.channel.EventLoop;
import java.util.Optional;
import loadbalancer.core.Clock;
import loadbalancer.core.Log;
import loadbalancer.membership.EndpointList;
import loadbalancer.membership.disk.EndpointListStore;
import loadbalancer.membership.disk.EndpointListWriter;
import loadbalancer.operator.OperatorConfiguration.DiskOptions;

/**
 * Stores the endpoint list on disk for the next start, and applies reloaded disk options. Event loop only, except for
 * {@link #readStored}.
 */
final class EndpointListPersistence {
    private final EventLoop loop;
    private final Clock clock;
    private final EndpointService endpoints;

    /** Null while the list is not stored. */
    private EndpointListWriter writer;

    EndpointListPersistence(EventLoop loop, Clock clock, EndpointService endpoints) {
        this.loop = loop;
        this.clock = clock;
        this.endpoints = endpoints;
    }

    static EndpointListStore store(DiskOptions options) {
        return new EndpointListStore(options.folder(), options.fleet(), options.maxFileBytes());
    }

    /** Reads the list that an earlier process has stored; blocks for as long as the disk takes. */
    static Optional<EndpointList> readStored(EndpointListStore store) {
        return store.read(text -> Log.event("disk", text));
    }

    /** Starts to write the list to this store. */
    void start(EndpointListStore store, DiskOptions options) {
        writer = new EndpointListWriter(
                store, options.maxWritesPerMinute(), clock::nowMicros, text -> Log.event("disk", text));
        endpoints.writeListTo(writer::submit, options.refreshMicros());
    }

    /** Applies reloaded options; null stops storing the list. */
    void reload(DiskOptions options) {
        endpoints.writeListTo(null, 0);
        // Starts only after the former writer has closed, because both may write to the same folder at different rates.
        close(() -> loop.execute(() -> {
            if (options != null) {
                start(store(options), options);
            }
        }));
        Log.event(
                "reload.disk", options == null ? "keeps no list from now on" : "keeps its list in " + options.folder());
    }

    /**
     * Writes pending lists on a thread of its own, because the disk may be slow; {@code onDone} may run on any thread.
     */
    void close(Runnable onDone) {
        EndpointListWriter former = writer;
        writer = null;
        if (former == null) {
            onDone.run();
            return;
        }
        Runnable end = () -> {
            former.close();
            onDone.run();
        };
        new Thread(end, "endpoint-list-close").start();
    }
}
