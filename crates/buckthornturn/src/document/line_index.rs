//! Conversion of byte offsets to lines and columns.

/// Converts byte offsets in a text to lines and columns.
pub(crate) struct LineIndex<'a> {
    text: &'a str,
    line_starts: Vec<usize>,
}

impl<'a> LineIndex<'a> {
    /// Creates the index for a text, in time linear in its length.
    pub(crate) fn new(text: &'a str) -> Self {
        let after_newlines = text.match_indices('\n').map(|(offset, _)| offset + 1);
        Self { text, line_starts: std::iter::once(0).chain(after_newlines).collect() }
    }

    /// Returns line and column of a byte offset, both counted from 1; the column counts characters, not bytes.
    pub(crate) fn position(&self, offset: usize) -> (usize, usize) {
        let line = self.line_starts.partition_point(|start| *start <= offset);
        let start = self.line_starts.get(line - 1).copied().unwrap_or(0);
        let column = self.text.get(start..offset).map_or(0, |part| part.chars().count());
        (line, column + 1)
    }
}
