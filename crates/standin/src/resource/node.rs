use std::{
    env, fs,
    io::{self, BufRead as _, BufReader},
    path::PathBuf,
    process::{Child, Command, Stdio},
};

use tamarackdock_config::Settings;
use tamarackdock_node::Addresses;

/// A node process, which is killed when this is dropped.
#[derive(Debug)]
pub struct Node {
    child: Child,
    addresses: Addresses,
}

impl Node {
    /// Starts the node program of the same build as the running example, and waits for the
    /// line with its addresses.
    ///
    /// # Errors
    ///
    /// Returns an error if the program is not built, doesn't start or prints another line
    /// first.
    pub fn spawn(settings: &Settings) -> io::Result<Self> {
        let file = env::temp_dir().join(format!("{}-{}.json", settings.host, std::process::id()));
        fs::write(&file, serde_json::to_vec(settings)?)?;
        let spawned = Command::new(program()?)
            .arg("--config")
            .arg(&file)
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .spawn();
        let started = spawned.and_then(|mut child| match read_addresses(&mut child) {
            Ok(addresses) => Ok(Self { child, addresses }),
            Err(error) => child.kill().and_then(|()| child.wait()).and(Err(error)),
        });
        fs::remove_file(&file)?;
        started
    }

    /// Returns the bound addresses.
    #[must_use]
    pub fn addresses(&self) -> Addresses {
        self.addresses
    }

    /// Returns the process id.
    #[must_use]
    pub fn id(&self) -> u32 {
        self.child.id()
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Returns the path of the node program. Examples are built into a subdirectory of its
/// directory.
fn program() -> io::Result<PathBuf> {
    let current_program = env::current_exe()?;
    let directory = current_program.ancestors().nth(2).ok_or(io::ErrorKind::NotFound)?;
    let program = directory.join("tamarackdock");
    if program.is_file() {
        return Ok(program);
    }
    let message = format!(
        "`{}` is missing; build it with `cargo build --release -p tamarackdock_node`",
        program.display()
    );
    Err(io::Error::new(io::ErrorKind::NotFound, message))
}

fn read_addresses(child: &mut Child) -> io::Result<Addresses> {
    let output = child.stdout.take().ok_or(io::ErrorKind::BrokenPipe)?;
    let mut line = String::new();
    BufReader::new(output).read_line(&mut line)?;
    Ok(serde_json::from_str(&line)?)
}
