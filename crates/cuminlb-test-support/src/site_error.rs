//! [`SiteError`].

/// The reason why a site can't run or does not answer.
#[derive(Debug)]
#[derive(thiserror::Error)]
pub enum SiteError {
    /// A file or a process of the site failed.
    #[error("{what}: {source}")]
    Io {
        /// What was tried.
        what: String,
        /// What the system reported.
        source: std::io::Error,
    },
    /// A program of the site is not built.
    #[error("{program} is not built; run `cargo build --workspace --bins --examples` first")]
    NotBuilt {
        /// The program.
        program: String,
    },
    /// A call over HTTP failed.
    #[error("{url}: {reason}")]
    Http {
        /// The address that was called.
        url: String,
        /// What went wrong.
        reason: String,
    },
    /// A condition did not come true in time.
    #[error("{what} did not happen within {seconds} s")]
    TimedOut {
        /// The condition.
        what: String,
        /// The time that was waited.
        seconds: u64,
    },
}
