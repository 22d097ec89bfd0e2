//! Rendezvous hashing: hosts that know the same candidates choose the same ones without communicating.

use sha2::Digest;
use sha2::Sha256;

/// Score of a candidate for an item; the candidate with the highest score is chosen. The last text names the candidate,
/// the texts before it name the item. No text may contain a NUL character, which separates them in the hash.
pub fn rendezvous_score(texts: &[&str]) -> u64 {
    let mut hash = Sha256::new();
    for text in texts {
        hash.update(text.as_bytes());
        hash.update([0]);
    }
    let digest = hash.finalize();
    digest.iter().take(8).fold(0, |score, byte| (score << 8) | u64::from(*byte))
}

/// The `count` candidates with the highest scores for `item`, best first.
pub fn highest_scores<'a>(
    item: &str,
    candidates: impl IntoIterator<Item = &'a str>,
    count: usize,
) -> Vec<&'a str> {
    let mut chosen: Vec<&str> = candidates.into_iter().collect();
    chosen.sort_by_cached_key(|candidate| {
        (std::cmp::Reverse(rendezvous_score(&[item, candidate])), *candidate)
    });
    chosen.truncate(count);
    chosen
}
