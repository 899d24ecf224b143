package org.pollenhoist.serving.request;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.Optional;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.pollenhoist.caller.Refusal;
import org.pollenhoist.common.ErrorCode;

class RequestAdmissionTest {

    private final AdmissionFixture fixture = new AdmissionFixture();

    private RequestAdmission.Result decide(String path, Optional<String> key) {
        return new RequestAdmission(fixture.environment(), AdmissionFixture.request(path, key))
                .decide(AdmissionFixture.NOW);
    }

    private static RequestAdmission.Result refused(Refusal refusal) {
        return new RequestAdmission.Result.Refused("r-1", refusal);
    }

    private static RequestAdmission.Result refusedForNow(String reason) {
        return refused(Refusal.notRunRetryAfter(
                ErrorCode.NOT_READY, reason + ", but this VM may lack a newer configuration", Duration.ofMillis(500)));
    }

    @Nested
    class VmThatKnowsWhatIsInForce {

        @Test
        void should_refuse_an_unknown_route_for_good() {
            assertThat(decide(AdmissionFixture.UNKNOWN_PATH, Optional.empty()))
                    .isEqualTo(refused(Refusal.notRun(ErrorCode.NOT_FOUND, "no route matches this host and path")));
        }

        @Test
        void should_refuse_an_unknown_or_missing_key_for_good() {
            RequestAdmission.Result unauthorized =
                    refused(Refusal.notRun(ErrorCode.UNAUTHORIZED, "the key is missing, unknown or revoked"));

            assertThat(decide(AdmissionFixture.KEYED_PATH, Optional.of("unknown")))
                    .isEqualTo(unauthorized);
            assertThat(decide(AdmissionFixture.KEYED_PATH, Optional.empty())).isEqualTo(unauthorized);
        }

        @Test
        void should_refuse_a_route_to_a_missing_service_without_a_time() {
            assertThat(decide(AdmissionFixture.PATH_WITHOUT_SERVICE, Optional.empty()))
                    .isEqualTo(refused(
                            Refusal.notRun(ErrorCode.UPSTREAM_UNAVAILABLE, "the route's service is not configured")));
        }
    }

    /** A refusal for good says that nobody allows the request, which this VM can't know. */
    @Nested
    class VmThatMayLackConfiguration {

        VmThatMayLackConfiguration() {
            fixture.mayLackConfiguration = true;
        }

        @Test
        void should_refuse_an_unknown_route_for_now() {
            assertThat(decide(AdmissionFixture.UNKNOWN_PATH, Optional.empty()))
                    .isEqualTo(refusedForNow("no route matches this host and path"));
        }

        @Test
        void should_refuse_an_unknown_or_missing_key_for_now() {
            RequestAdmission.Result forNow = refusedForNow("the key is missing, unknown or revoked");

            assertThat(decide(AdmissionFixture.KEYED_PATH, Optional.of("unknown")))
                    .isEqualTo(forNow);
            assertThat(decide(AdmissionFixture.KEYED_PATH, Optional.empty())).isEqualTo(forNow);
        }

        @Test
        void should_refuse_a_route_to_a_missing_service_for_now() {
            assertThat(decide(AdmissionFixture.PATH_WITHOUT_SERVICE, Optional.empty()))
                    .isEqualTo(refusedForNow("the route's service is not configured"));
        }

        @Test
        void should_admit_known_routes_and_keys() {
            assertThat(decide(AdmissionFixture.PUBLIC_PATH, Optional.empty()))
                    .isInstanceOf(RequestAdmission.Result.Admitted.class);
            assertThat(decide(AdmissionFixture.KEYED_PATH, Optional.of(AdmissionFixture.KEY)))
                    .isInstanceOf(RequestAdmission.Result.Admitted.class);
        }
    }
}
