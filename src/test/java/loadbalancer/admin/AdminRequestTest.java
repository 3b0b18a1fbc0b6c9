package loadbalancer.admin;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

class AdminRequestTest {
    private static final int RECOGNIZED = 200;

    private static int status(String method, String target) {
        return AdminRequest.parse(method, target) instanceof AdminRequest.Unrecognized unrecognized
                ? unrecognized.status()
                : RECOGNIZED;
    }

    @Test
    void requestsToASidecarAreParsedByMethodAndPath() {
        assertEquals(new AdminRequest.Ready(), AdminRequest.parse("GET", "/control/ready"));
        assertEquals(new AdminRequest.Counters(), AdminRequest.parse("GET", "/control/counters?pretty"));
        assertEquals(
                new AdminRequest.Offline("s-5be2a07c"),
                AdminRequest.parse("POST", "/control/upstreams/s-5be2a07c/offline"));
        assertEquals(
                new AdminRequest.Online("s-5be2a07c"),
                AdminRequest.parse("POST", "/control/upstreams/s-5be2a07c/online"));
        assertEquals(new AdminRequest.OutOfService(), AdminRequest.parse("POST", "/control/out-of-service"));
        assertEquals(new AdminRequest.InService(), AdminRequest.parse("POST", "/control/in-service"));
    }

    @Test
    void requestsToAReplicaAreParsedByMethodAndPath() {
        assertEquals(new AdminRequest.Scopes(), AdminRequest.parse("GET", "/control/scopes"));
        assertEquals(new AdminRequest.Scope("booking"), AdminRequest.parse("GET", "/control/scopes/booking"));
        assertEquals(new AdminRequest.ProposeScope("a b"), AdminRequest.parse("POST", "/control/scopes/a%20b/propose"));
        assertEquals(
                new AdminRequest.AbortScope("booking"), AdminRequest.parse("POST", "/control/scopes/booking/abort"));
    }

    @ParameterizedTest
    @CsvSource({"a%2Fb, a/b", "a%252Fb, a%2Fb", "a+%C3%BC, a+ü", "offline, offline"})
    void upstreamIdIsPercentDecodedOnceAndPlusIsKept(String encoded, String upstreamId) {
        assertEquals(
                new AdminRequest.Offline(upstreamId),
                AdminRequest.parse("POST", "/control/upstreams/" + encoded + "/offline"));
    }

    @ParameterizedTest
    @CsvSource({
        "404, GET, /control",
        "404, GET, /control/ready/",
        "404, GET, http://a/control/ready",
        "404, POST, /control/upstreams/offline",
        "404, POST, /control/upstreams/a/b/offline",
        "404, POST, /control/upstreams/a/down",
        "404, POST, /control/scopes/booking/drop",
        "405, POST, /control/ready",
        "405, GET, /control/upstreams/a/offline",
        "405, GET, /control/out-of-service",
        "405, GET, /control/scopes/booking/propose",
        "400, GET, /control/scopes/%zz"
    })
    void unrecognizedRequestHasAnErrorStatus(int status, String method, String target) {
        assertEquals(status, status(method, target));
    }

    @ParameterizedTest
    @ValueSource(strings = {"", "%", "%4", "%zz", "a%", "a%2", "%ff", "a b"})
    void malformedUpstreamIdIsABadRequest(String upstreamId) {
        assertEquals(400, status("POST", "/control/upstreams/" + upstreamId + "/offline"));
    }

    @Test
    void tooLongUpstreamIdIsABadRequest() {
        assertEquals(RECOGNIZED, status("POST", "/control/upstreams/" + "x".repeat(256) + "/offline"));
        assertEquals(400, status("POST", "/control/upstreams/" + "x".repeat(257) + "/offline"));
    }
}
