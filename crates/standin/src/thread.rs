//! Threads that each run one stand-in on a runtime of its own.

use std::{
    io,
    net::{Ipv4Addr, SocketAddr},
    rc::Rc,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
        mpsc,
    },
    thread::{self, JoinHandle},
    time::{Duration, Instant},
};

use monoio::{LegacyDriver, RuntimeBuilder};
use tamarackdock_wire::{
    flag::Flag,
    server::{Handler, Options, listen},
};

/// Pause between two looks at the switches. A runtime without the `sync`
/// feature can't be woken from another thread.
const POLL: Duration = Duration::from_millis(10);
/// Time for connections to break off before the runtime is dropped.
const CLOSE: Duration = Duration::from_millis(5);
/// How long a restarted listener tries to get its port back.
const REBIND_TIMEOUT: Duration = Duration::from_secs(5);

/// Switches of a stand-in's thread.
#[derive(Debug, Default)]
pub(crate) struct Switches {
    stop: AtomicBool,
    down: AtomicBool,
}

impl Switches {
    pub(crate) fn set_down(&self, down: bool) {
        self.down.store(down, Ordering::SeqCst);
    }

    pub(crate) fn is_down(&self) -> bool {
        self.down.load(Ordering::SeqCst)
    }

    pub(crate) fn is_stopped(&self) -> bool {
        self.stop.load(Ordering::SeqCst)
    }

    /// Waits until the thread must stop.
    pub(crate) async fn stopped(&self) {
        while !self.is_stopped() {
            monoio::time::sleep(POLL).await;
        }
    }

    fn is_serving(&self) -> bool {
        !self.is_down() && !self.is_stopped()
    }
}

/// A running thread, which stops when it is dropped.
#[derive(Debug)]
pub struct Thread {
    switches: Arc<Switches>,
    join: Option<JoinHandle<()>>,
}

impl Thread {
    pub(crate) fn switches(&self) -> &Arc<Switches> {
        &self.switches
    }

    /// Starts a thread that runs a task until it ends or the thread is stopped.
    pub(crate) fn run<M, F>(name: &str, make: M) -> io::Result<Self>
    where
        M: FnOnce(Arc<Switches>) -> F + Send + 'static,
        F: Future<Output = ()> + 'static,
    {
        let switches = Arc::new(Switches::default());
        let theirs = switches.clone();
        let join = thread::Builder::new().name(name.into()).spawn(move || {
            let task = make(theirs);
            block_on(task);
        })?;
        Ok(Self { switches, join: Some(join) })
    }

    /// Starts a listener on a free loopback port. While the switch `down` is
    /// set, connections are broken off and refused; the port stays the same.
    pub(crate) fn serve<M>(
        name: &str,
        switches: Arc<Switches>,
        make: M,
    ) -> io::Result<(SocketAddr, Self)>
    where
        M: Fn(Flag) -> Rc<dyn Handler> + Send + 'static,
    {
        let (sender, receiver) = mpsc::channel();
        let theirs = switches.clone();
        let join = thread::Builder::new().name(name.into()).spawn(move || {
            let mut address = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
            while !theirs.is_stopped() {
                block_on(serve_once(&mut address, &theirs, &make, &sender));
                while theirs.is_down() && !theirs.is_stopped() {
                    thread::sleep(POLL);
                }
            }
        })?;
        let address = receiver.recv().map_err(|_| io::ErrorKind::AddrNotAvailable)?;
        Ok((address, Self { switches, join: Some(join) }))
    }

    /// Stops the thread and waits for its end.
    pub fn stop(&mut self) {
        self.switches.stop.store(true, Ordering::SeqCst);
        if let Some(join) = self.join.take() {
            let _ = join.join();
        }
    }

    /// Returns whether the thread has ended.
    #[must_use]
    pub fn is_finished(&self) -> bool {
        self.join.as_ref().is_none_or(JoinHandle::is_finished)
    }
}

impl Drop for Thread {
    fn drop(&mut self) {
        self.stop();
    }
}

fn block_on(task: impl Future<Output = ()>) {
    let runtime = RuntimeBuilder::<LegacyDriver>::new().enable_timer().build();
    runtime.expect("a runtime needs one epoll descriptor").block_on(task);
}

async fn serve_once<M>(
    address: &mut SocketAddr,
    switches: &Switches,
    make: &M,
    bound: &mpsc::Sender<SocketAddr>,
) where
    M: Fn(Flag) -> Rc<dyn Handler>,
{
    let stop = Flag::new();
    let options = Options { stop: stop.clone(), ..Options::default() };
    *address = bind(*address, &make(stop.clone()), &options).await;
    let _ = bound.send(*address);
    while switches.is_serving() {
        monoio::time::sleep(POLL).await;
    }
    stop.raise();
    monoio::time::sleep(CLOSE).await;
}

async fn bind(address: SocketAddr, handler: &Rc<dyn Handler>, options: &Options) -> SocketAddr {
    let begin = Instant::now();
    loop {
        match listen(address, handler.clone(), options.clone()) {
            Ok(bound) => return bound.address(),
            Err(error) if begin.elapsed() > REBIND_TIMEOUT => {
                panic!("can't bind `{address}`: {error}")
            }
            Err(_) => monoio::time::sleep(POLL).await,
        }
    }
}
