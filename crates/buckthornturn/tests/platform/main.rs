//! Entry hosts against stand-ins for the platform.

#![allow(clippy::unwrap_used, clippy::expect_used)]

mod entry_fleet;
mod requests;
mod state;
