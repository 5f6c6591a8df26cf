#include "fault_matrix.hpp"

namespace medlarrack::faults {

std::span<const promise> promises()
{
    static const std::vector<promise> all{
        {"A request that may run once runs at most once",
         {
             {"any sequence of breaks, pauses, losses and restarts of up to six replicas", "libs/idempotency",
              "no_key_runs_twice_in_long_explorations"},
             {"a replica's answer to another process at its address", "libs/sidecar",
              "a_seal_by_another_process_at_the_replicas_address_does_not_count"},
             {"a pause between the permission and the run", "libs/sidecar",
              "a_pause_between_seal_and_run_runs_nothing"},
             {"the run broke", "libs/sidecar", "a_key_whose_run_broke_is_unknown_for_all_and_never_runs_again"},
             {"a gateway's connection ends after the request has left", "libs/gateway",
              "a_request_that_may_run_once_is_never_sent_again_after_it_may_have_run"},
             {"a kept connection closes under a request", "libs/http1",
              "a_kept_connection_that_closes_under_a_request_proves_nothing"},
             {"a replica answers with an error", "platform",
              "an_error_response_to_a_non_idempotent_request_is_forwarded_unchanged"},
         },
         "gateways and agents killed, frozen, stopped; connections reset, cut one way, silent; replicas that crash",
         "handover of records on a planned stop isn't built"},
        {"A refusal that says \"not run\" is true",
         {
             {"each point at which an attempt can break", "libs/entry", "the_final_answer_claims_only_what_is_proven"},
             {"a broken attempt, then refusals", "libs/entry",
              "a_broken_attempt_stays_in_doubt_when_later_ones_are_refused"},
             {"the request waits again after it may have run", "platform",
              "a_request_that_may_have_run_is_not_reported_as_not_run_after_waiting_for_its_adapter"},
             {"a peer closes without a word", "libs/peer",
              "a_request_to_a_peer_that_closes_without_a_word_is_proven_not_processed"},
             {"a peer vanished while its connection was unused", "libs/peer",
              "a_request_on_a_connection_whose_peer_vanished_while_unused_is_proven_not_processed"},
             {"a server drains under load", "libs/peer", "a_drain_under_load_tells_the_truth_about_every_request"},
             {"a connection is refused", "libs/http1", "a_refused_connection_proves_that_nothing_was_sent"},
         },
         "all faults of the soak",
         ""},
        {"An answer is whole, and its own request's",
         {
             {"a break anywhere in an answer", "libs/entry",
              "an_idempotent_request_is_answered_whole_after_a_break_anywhere"},
             {"late and crossed messages", "libs/entry", "late_and_crossed_messages_are_dropped"},
             {"a second answer on a kept connection", "libs/http1", "bytes_after_an_answer_cost_the_connection"},
             {"a late answer to another request", "platform",
              "a_late_response_to_another_request_never_reaches_a_caller"},
             {"an answer before the request has been read", "libs/http1",
              "an_early_answer_costs_the_connection_as_the_rest_of_the_request_may_be_taken_for_another"},
             {"an answer without a length, cut by a reset", "libs/http1",
              "an_answer_without_a_length_is_broken_when_the_server_resets"},
             {"a stream breaks inside an event", "platform", "a_stream_that_ends_inside_an_event_is_broken"},
             {"a stream that may be resumed breaks", "platform",
              "a_broken_stream_is_resumed_elsewhere_after_its_last_complete_event"},
             {"a response without end, in a head or a body", "platform",
              "a_request_that_may_have_run_is_answered_at_once_and_its_connection_closed"},
             {"events without end", "platform", "events_without_end_end_with_a_reset_and_never_look_complete"},
             {"bytes without end after a response", "platform", "bytes_after_a_complete_response_reach_nobody"},
             {"another stream beside a response without end", "platform",
              "another_stream_goes_on_beside_a_response_without_end"},
             {"a caller hides a second request in the first", "platform", "a_smuggled_request_reaches_no_replica"},
             {"an engine sends bytes of another answer", "libs/engine", "no_byte_of_another_answer_passes"},
             {"random changes to valid messages of a link", "libs/agent_protocol",
              "changed_bytes_never_do_more_than_end_the_decoding"},
         },
         "replicas that cut, garble and repeat answers",
         ""},
        {"The adapter and the version named answer",
         {
             {"an engine answers for another model", "libs/engine", "no_byte_of_a_wrong_model_passes"},
             {"an engine lost the adapter", "libs/sidecar", "an_adapter_that_the_engine_does_not_have_is_loaded_again"},
             {"an older record of an adapter comes late", "libs/gateway", "an_adapters_version_never_goes_back"},
             {"an engine holds an old version", "libs/gateway", "an_old_version_does_not_count_as_loaded"},
             {"a newer version is published", "libs/agent", "an_old_version_is_replaced_once_a_newer_one_is_published"},
         },
         "new versions in quick succession",
         "a change of version in the middle of a stream over real processes"},
        {"Adapters in use are not evicted",
         {
             {"any sequence of cancels, failed loads and restarts", "libs/adapter_cache",
              "no_sequence_of_events_evicts_an_adapter_in_use"},
             {"loads compete for all slots", "libs/agent", "an_adapter_in_use_is_never_unloaded"},
             {"an order stays without an answer", "libs/agent", "an_order_without_an_answer_takes_its_slot"},
             {"reports of the engine lag", "libs/agent", "no_more_is_ordered_than_the_engine_holds_though_reports_lag"},
         },
         "engines that are slow, crash and come back empty",
         ""},
        {"A leaving replica gets no new work",
         {
             {"the replica says so itself, then older lists arrive", "libs/instances",
              "leaving_said_by_the_instance_itself_is_not_taken_back_by_lists"},
             {"a leaving replica, the others busy", "libs/gateway", "a_failing_leaving_or_tried_replica_gets_nothing"},
             {"the store is read seldom", "platform", "a_poll_interval_of_seconds_is_not_an_outage"},
             {"it is started anew", "libs/gateway", "a_leaving_replica_stays_so_until_it_is_started_anew"},
             {"an answer says so, then older records come", "libs/gateway",
              "a_replica_that_said_it_leaves_stays_leaving_whatever_later_records_of_that_start_say"},
             {"an answer says so", "platform",
              "a_leaving_replica_gets_no_further_requests_and_its_response_is_forwarded"},
             {"its address serves another service", "libs/gateway",
              "an_address_taken_over_by_another_service_moves_the_replica"},
         },
         "replicas that leave while calm, told by the store or by answers: nothing new after 2.5 s",
         ""},
        {"A planned stop cuts off nothing",
         {
             {"a peer drains", "libs/peer",
              "after_a_drain_streams_in_progress_finish_and_new_ones_are_proven_not_processed"},
             {"a sidecar drains", "libs/sidecar", "a_drain_takes_no_new_work_and_cuts_off_none"},
             {"a gateway stops", "platform", "a_draining_gateway_sends_connection_close_with_its_last_response"},
             {"connections wait to be accepted, requests to be read", "platform",
              "a_stop_answers_requests_that_were_not_accepted_or_read_yet"},
         },
         "gateways stopped while calm",
         "1,000 requests in flight over repeated stops"},
        {"Changes are in force in seconds and never revert",
         {
             {"tickets duplicated, skipped and out of order", "libs/tickets",
              "any_order_with_duplicates_ends_in_the_same_state"},
             {"a stale copy at one data centre", "libs/config_sync",
              "a_stale_copy_of_one_data_centre_delays_but_never_reverts"},
             {"a data centre is cut off", "libs/config_sync", "a_data_centre_cut_off_catches_up_after_the_partition"},
             {"an older state is read", "libs/catalog", "an_older_state_is_never_taken"},
             {"the store forgot its history", "platform", "a_store_that_forgot_its_history_is_read_whole_again"},
             {"the store comes back from a backup", "platform", "a_new_era_in_any_answer_starts_a_new_list"},
             {"it does so between two pages of a list", "platform",
              "a_new_era_in_the_middle_of_a_list_starts_it_again"},
             {"an answer of before its return comes late", "platform", "a_late_answer_of_an_earlier_era_is_dropped"},
             {"the backup lists a replica that has left", "libs/gateway",
              "a_replica_that_left_stays_gone_though_an_older_record_lists_it_again"},
             {"the store answers with something else", "platform",
              "error_responses_and_invalid_documents_change_nothing_and_are_retried"},
         },
         "a store that refuses, resets, is silent, slow, forgets, comes back from a backup",
         ""},
        {"Orders to an engine have one holder",
         {
             {"a paused sidecar wakes", "libs/sidecar", "after_a_pause_nothing_from_before_it_is_started_or_ordered"},
             {"a sidecar was superseded", "libs/sidecar", "a_sidecar_whose_order_is_refused_as_old_gives_no_more"},
             {"the time of day was ahead before a restart", "libs/agent",
              "fencing_climbs_past_a_token_of_a_time_of_day_that_was_ahead"},
         },
         "agents killed, frozen, started again",
         "two live sidecars before one real engine"},
        {"Requests that crash replicas are bounded",
         {
             {"a request crashes each target it reaches", "libs/entry",
              "a_poison_request_crashes_two_targets_and_is_refused_then"},
             {"an agent was cut off when an answer ended a suspicion", "libs/suspects",
              "a_process_that_tells_of_crashes_answered_since_is_told_so_also_by_those_that_only_heard_of_it"},
             {"an innocent ran beside it", "libs/entry", "an_innocent_that_ran_beside_a_crash_is_answered_and_cleared"},
             {"a request reaches replicas of a gateway", "libs/gateway",
              "an_idempotent_request_runs_on_no_more_replicas_than_its_route_allows"},
             {"its caller comes again to a gateway", "platform",
              "a_request_that_crashes_each_replica_stops_reaching_them"},
             {"its caller comes again to other gateways, also to one that has just started", "libs/suspects",
              "what_one_process_learnt_refuses_the_request_at_another_and_at_one_started_later"},
             {"many gateways run it once more", "libs/suspects",
              "probes_of_all_processes_together_are_few_also_of_ones_that_start_anew"},
             {"many replicas go at once under a request that many callers send", "libs/suspects",
              "copies_of_a_request_that_ran_everywhere_when_targets_went_at_once_do_not_refuse_it"},
             {"answers are lost at replicas that live on", "platform",
              "a_request_whose_responses_are_lost_at_live_replicas_is_not_refused"},
         },
         "requests that crash each replica, sent to several gateways at once and again",
         "entries of the product's own interface don't tell each other of suspects"},
        {"Retries stay a share of the requests",
         {
             {"everything fails after quiet times, at all gateways", "libs/gateway",
              "retries_of_all_gateways_stay_within_the_bound_when_everything_fails_after_quiet_times"},
             {"quiet and busy times by turns", "libs/overload",
              "no_window_has_more_retries_than_its_share_whatever_comes"},
             {"the budget is spent", "platform", "the_first_response_is_forwarded_when_the_retry_budget_is_spent"},
         },
         "",
         ""},
        {"A replica that asks for quiet gets it",
         {
             {"it turns a request away and names a time", "platform",
              "a_replica_gets_no_requests_until_its_retry_after_has_passed"},
             {"all replicas do", "platform", "callers_are_refused_with_a_retry_after_when_all_replicas_have_sent_one"},
             {"it says no time that can be read", "platform", "an_invalid_retry_after_does_not_exclude_its_replica"},
             {"all that was held back comes at the end", "libs/gateway",
              "work_comes_back_gradually_after_a_quiet_time"},
         },
         "one replica of a service or all of them, also one that leaves",
         ""},
        {"A replica that fails is noticed by what callers get",
         {
             {"it fails in a row, its status check says well", "libs/gateway",
              "failures_in_a_row_take_a_replica_out_whatever_its_status_check_says"},
             {"it fails four of ten", "libs/agent",
              "an_engine_that_fails_four_of_ten_shows_within_half_a_second_of_what_all_gateways_send"},
             {"it flaps", "libs/gateway", "each_failed_return_doubles_the_time_out_up_to_a_bound"},
             {"it is slow", "libs/gateway", "a_slow_replica_gets_less"},
             {"it takes requests and never answers", "platform",
              "an_idempotent_request_is_retried_elsewhere_when_its_replica_is_silent"},
         },
         "replicas that are grey, slow, mute",
         ""},
        {"Load that can't be served is refused at once, with a time to return",
         {
             {"a replica turns requests away and tells no load, another is idle", "platform",
              "a_replica_that_rejects_requests_as_full_is_tried_last_for_a_while"},
             {"all engines come back empty", "libs/gateway",
              "after_a_mass_restart_an_adapter_is_loaded_at_few_engines_whatever_each_process_sees"},
             {"refused callers return", "libs/gateway", "callers_refused_together_return_spread"},
             {"more is asked than the fleet holds", "libs/gateway", "a_crowded_fleet_is_refused_at_once"},
             {"all replicas refuse", "platform", "a_request_that_all_replicas_reject_is_refused_with_a_retry_after"},
             {"no state was read yet", "platform", "a_request_is_refused_when_no_state_is_read_in_time"},
         },
         "",
         ""},
    };
    return all;
}

std::string toMarkdown(std::span<const promise> matrix)
{
    std::string text =
        "# What is shown under which fault\n\n"
        "Made by `build/bin/medlarrack-faults` from apps/medlarrack-faults; `test_fault_matrix` checks "
        "that each test\nnamed here exists and that this page is current. Real processes: [SOAK](SOAK.md), "
        "[BENCH](BENCH.md).\n";
    for (const promise &one : matrix) {
        text += "\n## " + std::string(one.text) + "\n\n| fault | tests of | test case |\n|---|---|---|\n";
        for (const proof &shown : one.proofs) {
            text += "| " + std::string(shown.fault) + " | " + std::string(shown.folder) + " | `"
                + std::string(shown.testCase) + "` |\n";
        }
        if (!one.soaked.empty()) {
            text += "\nSoaked: " + std::string(one.soaked) + ".\n";
        }
        if (!one.missing.empty()) {
            text += "\nNot shown yet: " + std::string(one.missing) + ".\n";
        }
    }
    return text;
}

} // namespace medlarrack::faults
