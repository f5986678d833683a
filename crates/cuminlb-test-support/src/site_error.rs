//! The error type of a test site.

/// The reason why a site can't run or does not respond.
#[derive(Debug)]
#[derive(thiserror::Error)]
pub enum SiteError {
    /// An I/O operation on a file or a process of the site failed.
    #[error("{context}: {source}")]
    Io {
        /// The file, program or operation.
        context: String,
        /// The error of the operating system.
        source: std::io::Error,
    },
    /// A program of the site is not built.
    #[error("{program} is not built; run `cargo build --workspace --bins --examples` first")]
    NotBuilt {
        /// The name or the path of the program.
        program: String,
    },
    /// An HTTP call failed.
    #[error("{url}: {reason}")]
    Http {
        /// The URL or a description of the call.
        url: String,
        /// The cause of the failure.
        reason: String,
    },
    /// A condition was not met in time.
    #[error("condition not met within {timeout_s} s: {condition}")]
    TimedOut {
        /// The condition.
        condition: String,
        /// The timeout in seconds.
        timeout_s: u64,
    },
}
