//! Signal by which a server that ends asks a request for its answer.

use tokio_util::sync::CancellationToken;

/// Extension of a request that tells when its answer is due at once: the server ends, and answers of later requests of the
/// connection wait behind it. A request that does not heed it is cut at the end, and those answers with it.
#[derive(Clone, Debug, Default)]
pub struct AnswerDue {
    token: CancellationToken,
}

impl AnswerDue {
    /// Asks for the answer.
    pub fn ask(&self) {
        self.token.cancel();
    }

    /// Returns once the answer is due.
    pub async fn wait(&self) {
        self.token.cancelled().await;
    }
}
