//! Tests of the adapter.
