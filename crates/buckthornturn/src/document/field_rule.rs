//! Rules by which the fields of objects in files are checked.

/// Rule for one field of an object.
#[derive(Clone, Copy, Debug)]
pub(crate) struct FieldRule {
    /// Name of the field as spelled in the file.
    pub(crate) name: &'static str,
    /// Whether an object without the field is invalid.
    pub(crate) required: bool,
    /// Values that the field accepts.
    pub(crate) kind: FieldKind,
}

/// Type and bounds of a field's values.
#[derive(Clone, Copy, Debug)]
pub(crate) enum FieldKind {
    /// Non-blank text without control characters, of at most `MAX_NAME_CHARS` characters.
    Name,
    /// A path of printable ASCII characters that starts with `/`.
    Path,
    /// An IP address with a port; host names are not accepted.
    Address,
    /// A block of client addresses, such as `192.0.2.0/24`.
    Block,
    /// A time in UTC, in the format of RFC 3339.
    Timestamp,
    /// A SHA-256 in lower-case hex digits.
    Sha256,
    /// Either `true` or `false`.
    Boolean,
    /// A whole number from the first bound to the second, both included.
    Integer(u64, u64),
    /// A number greater than the first bound and at most the second.
    Number(f64, f64),
    /// One of the given words.
    Choice(&'static [&'static str]),
    /// A list of names, each checked as `Name`.
    Names {
        /// Minimum number of names.
        min: usize,
    },
    /// A list of addresses, each checked as `Address`; it may be empty.
    Addresses,
    /// An object whose fields are checked against the rules.
    Object(&'static [FieldRule]),
    /// A list of objects that all have the same rules.
    Objects {
        /// Minimum number of objects.
        min: usize,
        /// Rules for the fields of each object.
        rules: &'static [FieldRule],
    },
}

/// Creates the rule for a field that must be present.
pub(crate) const fn required(name: &'static str, kind: FieldKind) -> FieldRule {
    FieldRule { name, required: true, kind }
}

/// Creates the rule for a field that may be absent.
pub(crate) const fn optional(name: &'static str, kind: FieldKind) -> FieldRule {
    FieldRule { name, required: false, kind }
}
