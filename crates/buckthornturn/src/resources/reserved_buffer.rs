//! Bytes that draw on the budget of the process as long as any part of them is held.

use bytes::Bytes;
use coordination::byte_reservation::ByteReservation;

struct ReservedBuffer {
    bytes: Bytes,
    _reservation: ByteReservation,
}

impl AsRef<[u8]> for ReservedBuffer {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

/// Ties a reservation to the bytes for which it was made; all clones and slices share it.
pub fn reserve_bytes(bytes: Bytes, reservation: ByteReservation) -> Bytes {
    Bytes::from_owner(ReservedBuffer { bytes, _reservation: reservation })
}
