//! Entry hosts with stand-ins for the platform's store and targets.

#![allow(clippy::unwrap_used, clippy::expect_used)]

mod copies;
mod crashes;
mod cut_hosts;
mod deploy_file;
mod endless_answers;
mod entry_fleet;
mod eras;
mod heads;
mod host_restarts;
mod invalid_statuses;
mod leaving;
mod limits;
mod lost_links;
mod outcomes;
mod pauses;
mod pipelines;
mod raw_target;
mod request_bytes;
mod requests;
mod reset_answers;
mod silent_store;
mod state;
mod troubled_days;
mod unreadable;
mod upload_answers;
mod upload_caller;
mod upload_stops;
mod uploads;
