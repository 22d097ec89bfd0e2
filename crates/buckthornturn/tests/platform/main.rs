//! Entry hosts against stand-ins for the platform.

mod entry_fleet;
mod requests;
mod state;
