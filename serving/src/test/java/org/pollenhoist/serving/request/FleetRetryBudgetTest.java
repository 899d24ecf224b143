package org.pollenhoist.serving.request;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.pollenhoist.common.MonotonicTime;

class FleetRetryBudgetTest {

    private static final double RATIO = 0.2;
    private static final Duration WINDOW = Duration.ofSeconds(10);
    private static final double ALLOWANCE = 56;
    private static final int FLEET_SIZE = 8;
    private static final MonotonicTime LONG_AGO = at(-60_000);

    private static MonotonicTime at(long milliseconds) {
        return MonotonicTime.of(Duration.ofMillis(milliseconds));
    }

    @Nested
    class Withdrawing {

        /** Every request fails and is retried while the budget lasts. */
        @Test
        void should_keep_the_fleet_within_its_limit_in_every_window_when_all_requests_fail() {
            List<FleetRetryBudget> budgets = new ArrayList<>();
            for (int vm = 0; vm < FLEET_SIZE; vm++) {
                budgets.add(new FleetRetryBudget(RATIO, WINDOW, ALLOWANCE, LONG_AGO));
            }
            List<Long> retries = new ArrayList<>();
            for (long time = 0; time < 60_000; time += 20) {
                FleetRetryBudget budget = budgets.get((int) (time / 20 % FLEET_SIZE));
                budget.recordRequest(at(time));
                if (budget.tryWithdraw(FLEET_SIZE, at(time))) {
                    retries.add(time);
                }
            }
            double requestsPerWindow = 500;
            for (long begin : retries) {
                long retriesInWindow = retries.stream()
                        .filter(time -> time >= begin && time < begin + WINDOW.toMillis())
                        .count();
                assertThat((double) retriesInWindow).isLessThanOrEqualTo(RATIO * requestsPerWindow + ALLOWANCE);
            }
            assertThat(retries).isNotEmpty();
        }

        @Test
        void should_not_exceed_the_allowance_when_all_vms_are_restarted_in_turn() {
            List<FleetRetryBudget> budgets = new ArrayList<>();
            for (int vm = 0; vm < FLEET_SIZE; vm++) {
                budgets.add(new FleetRetryBudget(0, WINDOW, ALLOWANCE, LONG_AGO));
            }
            int retries = 0;
            for (long time = 0; time < WINDOW.toMillis(); time += 10) {
                int vm = (int) (time / 10 % FLEET_SIZE);
                if (time % 1_000 == 500 && time / 1_000 < FLEET_SIZE) {
                    budgets.set(
                            (int) (time / 1_000), new FleetRetryBudget(0, WINDOW, ALLOWANCE, at(time).plus(WINDOW)));
                }
                retries += budgets.get(vm).tryWithdraw(FLEET_SIZE, at(time)) ? 1 : 0;
            }
            assertThat((double) retries).isLessThanOrEqualTo(ALLOWANCE);
        }

        @Test
        void should_not_use_the_whole_allowance_when_started_without_knowing_other_vms() {
            FleetRetryBudget budget = new FleetRetryBudget(0, WINDOW, ALLOWANCE, at(0).plus(WINDOW));
            assertThat(budget.tryWithdraw(1, at(10))).isFalse();
            assertThat(budget.tryWithdraw(1, at(WINDOW.toMillis()))).isTrue();
        }

        @Test
        void should_keep_counted_retries_when_the_limits_change() {
            FleetRetryBudget budget = new FleetRetryBudget(0, WINDOW, 1.25, LONG_AGO);
            assertThat(budget.tryWithdraw(1, at(0))).isTrue();

            budget.configure(0, WINDOW, 1.25);
            assertThat(budget.tryWithdraw(1, at(10))).isFalse();

            budget.configure(0, WINDOW, 2.5);
            assertThat(budget.tryWithdraw(1, at(20))).isTrue();
        }

        @Test
        void should_allow_a_retry_when_an_earlier_one_has_left_the_window() {
            FleetRetryBudget budget = new FleetRetryBudget(0, WINDOW, 1.25, LONG_AGO);
            assertThat(budget.tryWithdraw(1, at(0))).isTrue();
            assertThat(budget.tryWithdraw(1, at(9_999))).isFalse();
            assertThat(budget.tryWithdraw(1, at(10_001))).isTrue();
        }
    }
}
