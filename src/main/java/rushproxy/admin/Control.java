package rushproxy.admin;

import java.util.Map;
import java.util.function.Consumer;

/** What operators' calls act on; called on the loop, which must not wait. */
public interface Control {
    /** Whether this process would serve a client that comes now. */
    boolean ready();

    Map<String, Object> counters();

    /** {@code out}: nothing more goes to the upstream; else it is used again. Tells once whether the list has it. */
    void upstream(String id, boolean out, Consumer<Boolean> known);

    /** {@code out}: clients are sent away; else they may come again. */
    void service(boolean out);
}
