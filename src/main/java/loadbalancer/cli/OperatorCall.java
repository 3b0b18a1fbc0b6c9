package loadbalancer.cli;

import java.io.IOException;
import java.io.InputStream;
import java.net.HttpURLConnection;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import picocli.CommandLine;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;

/** A call to a process's address for operators, as an option of commands. */
final class OperatorCall {
    private static final int WAIT_MS = 2_000;

    @Option(
            names = "--at",
            paramLabel = "HOST:PORT",
            required = true,
            description = "a sidecar's or a control replica's address for operators")
    private String at;

    @CommandLine.Spec(CommandLine.Spec.Target.MIXEE)
    private CommandLine.Model.CommandSpec spec;

    /** Makes it and prints the answer; the exit code: 0 where it was done, else 1. */
    int call(String method, String path) {
        if (!at.matches("[0-9a-zA-Z.-]{1,253}:[0-9]{1,5}")) {
            throw new ParameterException(
                    spec.commandLine(), "--at: expected an address such as 127.0.0.1:9000, found '" + at + "'");
        }
        try {
            HttpURLConnection call = (HttpURLConnection)
                    URI.create("http://" + at + path).toURL().openConnection();
            call.setRequestMethod(method);
            call.setConnectTimeout(WAIT_MS);
            call.setReadTimeout(WAIT_MS);
            int status = call.getResponseCode();
            boolean done = status < 300;
            (done ? spec.commandLine().getOut() : spec.commandLine().getErr()).println(text(call, status));
            return done ? 0 : 1;
        } catch (IOException exception) {
            spec.commandLine().getErr().println(at + " does not answer: " + exception.getMessage());
            return 1;
        }
    }

    /** An answer's body, or its status where it has none. */
    private static String text(HttpURLConnection call, int status) throws IOException {
        InputStream body = status < 400 ? call.getInputStream() : call.getErrorStream();
        String text = body == null ? "" : new String(body.readAllBytes(), StandardCharsets.UTF_8).strip();
        return text.isEmpty() ? "status " + status : text;
    }
}
