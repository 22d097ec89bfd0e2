//! Tests of the external contract on the real binary: callers, operators, command line and TLS.

#![allow(clippy::unwrap_used)]

mod callers;
mod command_line;
mod deployment;
mod operators;
mod tls;
