//! [`Process`] and [`Programs`].

use std::ffi::OsStr;
use std::fs::File;
use std::path::{Path, PathBuf};
use std::process::{ExitStatus, Stdio};

use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use tokio::process::{Child, Command};

use crate::SiteError;

/// Finds the programs that cargo has built beside the running one.
#[derive(Clone, Debug)]
pub struct Programs {
    folder: PathBuf,
}

impl Programs {
    /// Looks for the build folder among the parents of the running program.
    ///
    /// # Errors
    ///
    /// Returns [`SiteError::NotBuilt`] when there is no built node in any of them.
    pub fn find() -> Result<Self, SiteError> {
        let not_built = || SiteError::NotBuilt {
            program: "cuminlb".to_owned(),
        };
        let exe = std::env::current_exe().map_err(|_| not_built())?;
        let folder = exe
            .ancestors()
            .skip(1)
            .find(|folder| folder.join("cuminlb").is_file());
        folder
            .map(|folder| Self {
                folder: folder.to_owned(),
            })
            .ok_or_else(not_built)
    }

    /// Returns the path of a shipped program.
    pub fn binary(&self, name: &str) -> PathBuf {
        self.folder.join(name)
    }

    /// Returns the path of an example.
    pub fn example(&self, name: &str) -> PathBuf {
        self.folder.join("examples").join(name)
    }
}

/// A running process; it is killed when this is dropped.
#[derive(Debug)]
pub struct Process {
    child: Child,
    log: PathBuf,
}

impl Process {
    /// Starts a program whose output goes to a file.
    ///
    /// # Errors
    ///
    /// Returns [`SiteError`] when the program is not built or can't be started.
    pub fn start<S: AsRef<OsStr>>(
        program: &Path,
        arguments: impl IntoIterator<Item = S>,
        log: PathBuf,
    ) -> Result<Self, SiteError> {
        if !program.is_file() {
            return Err(SiteError::NotBuilt {
                program: program.display().to_string(),
            });
        }
        let io = |source| SiteError::Io {
            what: program.display().to_string(),
            source,
        };
        let stderr = File::options()
            .create(true)
            .append(true)
            .open(&log)
            .map_err(io)?;
        let stdout = stderr.try_clone().map_err(io)?;
        let child = Command::new(program)
            .args(arguments)
            .stdin(Stdio::null())
            .stdout(stdout)
            .stderr(stderr)
            .kill_on_drop(true)
            .spawn()
            .map_err(io)?;
        Ok(Self { child, log })
    }

    /// Returns the process id; `None` once the process has ended and was waited for.
    pub fn id(&self) -> Option<u32> {
        self.child.id()
    }

    /// Returns what the process has written.
    pub fn log(&self) -> String {
        std::fs::read_to_string(&self.log).unwrap_or_default()
    }

    /// Tells whether the process has ended.
    pub fn has_ended(&mut self) -> bool {
        !matches!(self.child.try_wait(), Ok(None))
    }

    /// Sends a signal; a process that has ended is left alone.
    pub fn signal(&self, signal: Signal) {
        if let Some(id) = self.id().and_then(|id| i32::try_from(id).ok()) {
            let _ = kill(Pid::from_raw(id), signal);
        }
    }

    /// Kills the process at once and waits for its end.
    pub async fn kill(&mut self) {
        let _ = self.child.kill().await;
    }

    /// Asks the process to shut down and waits for its end.
    ///
    /// # Errors
    ///
    /// Returns [`SiteError`] when the process can't be waited for.
    pub async fn terminate(&mut self) -> Result<ExitStatus, SiteError> {
        self.signal(Signal::SIGTERM);
        self.wait().await
    }

    /// Waits for the end of the process.
    ///
    /// # Errors
    ///
    /// Returns [`SiteError`] when the process can't be waited for.
    pub async fn wait(&mut self) -> Result<ExitStatus, SiteError> {
        let io = |source| SiteError::Io {
            what: "waiting for a process".to_owned(),
            source,
        };
        self.child.wait().await.map_err(io)
    }
}
