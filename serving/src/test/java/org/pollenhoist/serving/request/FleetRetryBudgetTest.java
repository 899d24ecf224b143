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
    private static final int FLEET = 8;
    private static final MonotonicTime LONG_AGO = at(-60_000);

    private static MonotonicTime at(long milliseconds) {
        return MonotonicTime.of(Duration.ofMillis(milliseconds));
    }

    @Nested
    class Withdrawing {

        /** Every request fails and is to be repeated: the sum over all VMs stays below the fleet's bound. */
        @Test
        void should_keep_the_whole_fleet_within_its_bound_in_every_window() {
            List<FleetRetryBudget> budgets = new ArrayList<>();
            for (int vm = 0; vm < FLEET; vm++) {
                budgets.add(new FleetRetryBudget(RATIO, WINDOW, ALLOWANCE, LONG_AGO));
            }
            List<Long> retries = new ArrayList<>();
            for (long time = 0; time < 60_000; time += 20) {
                FleetRetryBudget budget = budgets.get((int) (time / 20 % FLEET));
                budget.recordRequest(at(time));
                if (budget.tryWithdraw(FLEET, at(time))) {
                    retries.add(time);
                }
            }
            double requestsInWindow = 500;
            for (long begin : retries) {
                long inWindow = retries.stream()
                        .filter(time -> time >= begin && time < begin + WINDOW.toMillis())
                        .count();
                assertThat((double) inWindow).isLessThanOrEqualTo(RATIO * requestsInWindow + ALLOWANCE);
            }
            assertThat(retries).isNotEmpty();
        }

        @Test
        void should_not_become_whole_again_when_all_vms_are_started_anew_in_turn() {
            List<FleetRetryBudget> budgets = new ArrayList<>();
            for (int vm = 0; vm < FLEET; vm++) {
                budgets.add(new FleetRetryBudget(0, WINDOW, ALLOWANCE, LONG_AGO));
            }
            int retries = 0;
            for (long time = 0; time < WINDOW.toMillis(); time += 10) {
                int vm = (int) (time / 10 % FLEET);
                if (time % 1_000 == 500 && time / 1_000 < FLEET) {
                    budgets.set(
                            (int) (time / 1_000), new FleetRetryBudget(0, WINDOW, ALLOWANCE, at(time).plus(WINDOW)));
                }
                retries += budgets.get(vm).tryWithdraw(FLEET, at(time)) ? 1 : 0;
            }
            assertThat((double) retries).isLessThanOrEqualTo(ALLOWANCE);
        }

        @Test
        void should_not_take_the_whole_allowance_for_its_own_while_it_knows_no_other_vm() {
            FleetRetryBudget budget = new FleetRetryBudget(0, WINDOW, ALLOWANCE, at(0).plus(WINDOW));
            assertThat(budget.tryWithdraw(1, at(10))).isFalse();
            assertThat(budget.tryWithdraw(1, at(WINDOW.toMillis()))).isTrue();
        }

        @Test
        void should_not_become_whole_again_by_changed_bounds() {
            FleetRetryBudget budget = new FleetRetryBudget(0, WINDOW, 1.25, LONG_AGO);
            assertThat(budget.tryWithdraw(1, at(0))).isTrue();

            budget.configure(0, WINDOW, 1.25);
            assertThat(budget.tryWithdraw(1, at(10))).isFalse();

            budget.configure(0, WINDOW, 2.5);
            assertThat(budget.tryWithdraw(1, at(20))).isTrue();
        }

        @Test
        void should_forget_retries_that_left_the_window() {
            FleetRetryBudget budget = new FleetRetryBudget(0, WINDOW, 1.25, LONG_AGO);
            assertThat(budget.tryWithdraw(1, at(0))).isTrue();
            assertThat(budget.tryWithdraw(1, at(9_999))).isFalse();
            assertThat(budget.tryWithdraw(1, at(10_001))).isTrue();
        }
    }
}
