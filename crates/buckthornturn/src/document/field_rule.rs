//! Rules for the fields of an object in a file.

/// Rule for one field.
#[derive(Clone, Copy, Debug)]
pub(crate) struct FieldRule {
    /// Name.
    pub(crate) name: &'static str,
    /// Whether it must be there.
    pub(crate) required: bool,
    /// Its values.
    pub(crate) kind: FieldKind,
}

/// Values of a field.
#[derive(Clone, Copy, Debug)]
pub(crate) enum FieldKind {
    /// Text that is not empty, without control characters, at most `MAX_NAME_CHARS` long.
    Name,
    /// A path that starts with `/`.
    Path,
    /// IP address and port.
    Address,
    /// A block of client addresses.
    Block,
    /// Time in RFC 3339, in UTC.
    Timestamp,
    /// SHA-256 in lower-case hex.
    Sha256,
    /// `true` or `false`.
    Boolean,
    /// A whole number within bounds.
    Integer(u64, u64),
    /// A number above the first bound, up to the second.
    Number(f64, f64),
    /// One of some words.
    Choice(&'static [&'static str]),
    /// A list of names.
    Names {
        /// Fewest of them.
        min: usize,
    },
    /// A list of addresses.
    Addresses,
    /// An object.
    Object(&'static [FieldRule]),
    /// A list of objects, at least `min` of them.
    Objects {
        /// Fewest of them.
        min: usize,
        /// Rules of each.
        rules: &'static [FieldRule],
    },
}

/// A field that must be there.
pub(crate) const fn required(name: &'static str, kind: FieldKind) -> FieldRule {
    FieldRule { name, required: true, kind }
}

/// A field that may be left out.
pub(crate) const fn optional(name: &'static str, kind: FieldKind) -> FieldRule {
    FieldRule { name, required: false, kind }
}
