package loadbalancer.grpc;

import io.netty.handler.codec.http2.Http2Headers;
import loadbalancer.balancing.Balancer.LoadReport;
import loadbalancer.grpc.mapping.OrcaLoadReport;
import loadbalancer.http1.LoadReportParser;

/** The load report in the trailers of an answer, in whichever of its three forms it comes. */
final class GrpcLoad {
    private GrpcLoad() {}

    /** Null where there is none that can be believed. */
    static LoadReport read(Http2Headers trailers) {
        CharSequence own = trailers.get("x-pressure");
        if (own != null) {
            return LoadReportParser.parse(own.toString());
        }
        CharSequence binary = trailers.get("endpoint-load-metrics-bin");
        return binary != null
                ? OrcaLoadReport.binary(binary)
                : OrcaLoadReport.text(trailers.get("endpoint-load-metrics"));
    }
}
