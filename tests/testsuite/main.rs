//! End-to-end and property tests of the whole system; most run the programs as processes.
#![allow(
    clippy::expect_used,
    clippy::unwrap_used,
    clippy::panic,
    unreachable_pub,
    reason = "a test fails by panicking"
)]

mod admission;
mod answering_site;
mod answering_worker;
mod at_most_once;
mod claim_properties;
mod claim_world;
mod cold_start;
mod command_line;
mod configuration;
mod cut_answer;
mod cut_lane;
mod cut_off;
mod fleet_commands;
mod fleet_support;
mod group_orders;
mod groups;
mod latency;
mod link_modes;
mod memory_table;
mod metrics;
mod native_broken_streams;
mod native_catalog;
mod native_changes;
mod native_closing;
mod native_connections;
mod native_crashes;
mod native_cut_answers;
mod native_deadlines;
mod native_feeds;
mod native_file_limit;
mod native_forwarded_requests;
mod native_forwarded_responses;
mod native_groups;
mod native_keys;
mod native_lapsed_entries;
mod native_late_requests;
mod native_late_responses;
mod native_leaving;
mod native_links;
mod native_local_ports;
mod native_memory;
mod native_node;
mod native_observation;
mod native_odd_heads;
mod native_odd_rows;
mod native_operation;
mod native_partial_partitions;
mod native_partitioned_leaders;
mod native_partitions;
mod native_path;
mod native_plain_silence;
mod native_raw_responses;
mod native_refusals;
mod native_restore;
mod native_restored_drain;
mod native_restored_lease;
mod native_restored_orders;
mod native_resumed_streams;
mod native_retry_times;
mod native_silence;
mod native_silent_connections;
mod native_site;
mod native_stop_callers;
mod native_stop_grace;
mod native_stops;
mod native_unproven_attempts;
mod native_unread_responses;
mod observed_call;
mod outage;
mod pages;
mod partitioned_site;
mod plan_faults;
mod plan_table;
mod quarantine;
mod raw_caller;
mod raw_response;
mod raw_worker;
mod scripted_worker;
mod shutdown;
mod silence_site;
mod stopping_site;
mod streams;
mod support;
mod text_difference;
mod timeline;
mod whole_path;
mod wrong_files;
mod zone_events;
mod zones;
