use std::{
    fs,
    io::{self, BufRead as _, BufReader},
    path::{Path, PathBuf},
    process::{Child, Command, ExitStatus, Stdio},
    sync::atomic::{AtomicU64, Ordering},
    thread,
    time::{Duration, Instant},
};

use rustix::process::{Pid, Signal, kill_process};
use tamarackdock_config::Settings;
use tamarackdock_node::Addresses;

/// Interval at which [`Node::wait`] checks for the process's end.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Number in the name of the next temporary directory.
static NEXT_DIRECTORY: AtomicU64 = AtomicU64::new(0);

/// A running `tamarackdock` process, which is killed when it is dropped.
#[derive(Debug)]
pub struct Node {
    child: Child,
    addresses: Addresses,
    directory: PathBuf,
}

impl Node {
    /// Writes the settings into a temporary directory, starts the program and
    /// waits for the line with its addresses.
    ///
    /// # Errors
    ///
    /// Returns the error of the file or process that can't be created, `UnexpectedEof` if the
    /// program ends without a line, and `InvalidData` if it prints another line first.
    pub fn spawn(program: &Path, settings: &Settings) -> io::Result<Self> {
        let number = NEXT_DIRECTORY.fetch_add(1, Ordering::Relaxed);
        let name = format!("tamarackdock-{}-{number}", std::process::id());
        let directory = std::env::temp_dir().join(name);
        fs::create_dir_all(&directory)?;
        let file = directory.join("settings.json");
        fs::write(&file, serde_json::to_string(settings)?)?;
        let mut command = Command::new(program);
        command.arg("--config").arg(&file).stdin(Stdio::null()).stdout(Stdio::piped());
        let mut child = command.spawn()?;
        match read_addresses(&mut child) {
            Ok(addresses) => Ok(Self { child, addresses, directory }),
            Err(error) => {
                kill_and_clean_up(&mut child, &directory);
                Err(error)
            }
        }
    }

    /// Returns the bound addresses.
    #[must_use]
    pub fn addresses(&self) -> Addresses {
        self.addresses
    }

    /// Sends a signal to the process.
    ///
    /// # Errors
    ///
    /// Returns the error of the system call, for example if the process has ended.
    pub fn signal(&self, signal: Signal) -> io::Result<()> {
        kill_process(Pid::from_child(&self.child), signal).map_err(io::Error::from)
    }

    /// Waits until the process ends.
    ///
    /// # Errors
    ///
    /// Returns `TimedOut` if it runs longer than `timeout`.
    pub fn wait(&mut self, timeout: Duration) -> io::Result<ExitStatus> {
        let start = Instant::now();
        loop {
            match self.child.try_wait()? {
                Some(status) => return Ok(status),
                None if start.elapsed() > timeout => return Err(io::ErrorKind::TimedOut.into()),
                None => thread::sleep(POLL_INTERVAL),
            }
        }
    }

    /// Returns the files, sockets and the like that the open descriptors of the process
    /// refer to, as the links in `/proc` name them.
    ///
    /// # Errors
    ///
    /// Returns the error of the system if `/proc` can't be read.
    pub fn descriptors(&self) -> io::Result<Vec<String>> {
        let entries = fs::read_dir(format!("/proc/{}/fd", self.child.id()))?;
        // A descriptor may be closed before its link is read.
        let links = entries.filter_map(|entry| fs::read_link(entry.ok()?.path()).ok());
        Ok(links.map(|link| link.to_string_lossy().into_owned()).collect())
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        kill_and_clean_up(&mut self.child, &self.directory);
    }
}

fn read_addresses(child: &mut Child) -> io::Result<Addresses> {
    let output = child.stdout.take().ok_or(io::ErrorKind::BrokenPipe)?;
    let mut line = String::new();
    BufReader::new(output).read_line(&mut line)?;
    serde_json::from_str(&line).map_err(io::Error::from)
}

fn kill_and_clean_up(child: &mut Child, directory: &Path) {
    let _ = child.kill();
    let _ = child.wait();
    let _ = fs::remove_dir_all(directory);
}
