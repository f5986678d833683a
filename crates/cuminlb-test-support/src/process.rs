//! Child processes of a site, and the paths of the programs that they run.

use std::ffi::OsStr;
use std::fs::File;
use std::path::{Path, PathBuf};
use std::process::{ExitStatus, Stdio};

use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use tokio::process::{Child, Command};

use crate::SiteError;

/// The paths of the programs that Cargo has built into the directory of the running one.
#[derive(Clone, Debug)]
pub struct Programs {
    dir: PathBuf,
}

impl Programs {
    /// Searches the ancestors of the running program's path for the build directory.
    ///
    /// # Errors
    ///
    /// Returns [`SiteError::NotBuilt`] if none of them contains the program of a node.
    pub fn find() -> Result<Self, SiteError> {
        let not_built = || SiteError::NotBuilt {
            program: "cuminlb".to_owned(),
        };
        let executable = std::env::current_exe().map_err(|_| not_built())?;
        let dir = executable
            .ancestors()
            .skip(1)
            .find(|dir| dir.join("cuminlb").is_file());
        dir.map(|dir| Self {
            dir: dir.to_owned(),
        })
        .ok_or_else(not_built)
    }

    /// Returns the path of a binary.
    pub fn binary(&self, name: &str) -> PathBuf {
        self.dir.join(name)
    }

    /// Returns the path of an example.
    pub fn example(&self, name: &str) -> PathBuf {
        self.dir.join("examples").join(name)
    }
}

/// A child process, which is killed on drop.
#[derive(Debug)]
pub struct Process {
    child: Child,
    log_path: PathBuf,
}

impl Process {
    /// Starts a program and appends its standard output and error to a log file.
    ///
    /// # Errors
    ///
    /// Returns [`SiteError`] if the program is not built or can't be started.
    pub fn start<S: AsRef<OsStr>>(
        program: &Path,
        arguments: impl IntoIterator<Item = S>,
        log_path: PathBuf,
    ) -> Result<Self, SiteError> {
        if !program.is_file() {
            return Err(SiteError::NotBuilt {
                program: program.display().to_string(),
            });
        }
        let io_error = |source| SiteError::Io {
            context: program.display().to_string(),
            source,
        };
        let stderr = File::options()
            .create(true)
            .append(true)
            .open(&log_path)
            .map_err(io_error)?;
        let stdout = stderr.try_clone().map_err(io_error)?;
        let child = Command::new(program)
            .args(arguments)
            .stdin(Stdio::null())
            .stdout(stdout)
            .stderr(stderr)
            .kill_on_drop(true)
            .spawn()
            .map_err(io_error)?;
        Ok(Self { child, log_path })
    }

    /// Returns the process id, or `None` once the process has exited and has been waited for.
    pub fn id(&self) -> Option<u32> {
        self.child.id()
    }

    /// Returns the content of the log file.
    pub fn log(&self) -> String {
        std::fs::read_to_string(&self.log_path).unwrap_or_default()
    }

    /// Returns whether the process has exited.
    pub fn has_ended(&mut self) -> bool {
        !matches!(self.child.try_wait(), Ok(None))
    }

    /// Sends a signal, unless the process has exited and has been waited for.
    pub fn signal(&self, signal: Signal) {
        if let Some(id) = self.id().and_then(|id| i32::try_from(id).ok()) {
            let _ = kill(Pid::from_raw(id), signal);
        }
    }

    /// Sends `SIGKILL` and waits for the process to exit.
    pub async fn kill(&mut self) {
        let _ = self.child.kill().await;
    }

    /// Sends `SIGTERM` and waits for the process to exit.
    ///
    /// # Errors
    ///
    /// Returns [`SiteError`] if waiting for the process fails.
    pub async fn terminate(&mut self) -> Result<ExitStatus, SiteError> {
        self.signal(Signal::SIGTERM);
        self.wait().await
    }

    /// Waits for the process to exit.
    ///
    /// # Errors
    ///
    /// Returns [`SiteError`] if waiting for the process fails.
    pub async fn wait(&mut self) -> Result<ExitStatus, SiteError> {
        let io_error = |source| SiteError::Io {
            context: "waiting for a process".to_owned(),
            source,
        };
        self.child.wait().await.map_err(io_error)
    }
}
