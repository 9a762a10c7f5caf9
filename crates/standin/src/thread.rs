//! Threads that each run one stand-in on its own runtime.

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

/// Interval at which control flags are read. They are polled because a runtime without
/// the `sync` feature can't be woken from another thread.
const POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Time for connections to close before the runtime is dropped.
const CLOSE_DELAY: Duration = Duration::from_millis(5);
/// Longest time for which a restarted listener tries to bind its former port.
const REBIND_TIMEOUT: Duration = Duration::from_secs(5);

/// Flags by which other threads control a stand-in's thread.
#[derive(Debug, Default)]
pub(crate) struct Control {
    /// Whether the thread must end.
    stop: AtomicBool,
    /// Whether the stand-in is unavailable: its listener is closed, or, for a node, it
    /// shuts down gracefully.
    down: AtomicBool,
}

impl Control {
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
    pub(crate) async fn wait_until_stopped(&self) {
        while !self.is_stopped() {
            monoio::time::sleep(POLL_INTERVAL).await;
        }
    }

    fn is_serving(&self) -> bool {
        !self.is_down() && !self.is_stopped()
    }
}

/// A running thread, which stops when it is dropped.
#[derive(Debug)]
pub struct Thread {
    control: Arc<Control>,
    join: Option<JoinHandle<()>>,
}

impl Thread {
    pub(crate) fn control(&self) -> &Arc<Control> {
        &self.control
    }

    /// Starts a thread that runs a task until it ends or the thread is stopped.
    pub(crate) fn run<M, F>(name: &str, make_task: M) -> io::Result<Self>
    where
        M: FnOnce(Arc<Control>) -> F + Send + 'static,
        F: Future<Output = ()> + 'static,
    {
        let control = Arc::new(Control::default());
        let thread_control = control.clone();
        let join = thread::Builder::new().name(name.into()).spawn(move || {
            let task = make_task(thread_control);
            block_on(task);
        })?;
        Ok(Self { control, join: Some(join) })
    }

    /// Starts a listener on a free loopback port. While the flag `down` is set, its
    /// connections are closed and new ones refused; the port stays the same. A handler
    /// is made each time that the listener starts.
    pub(crate) fn serve<M>(
        name: &str,
        control: Arc<Control>,
        make_handler: M,
    ) -> io::Result<(SocketAddr, Self)>
    where
        M: Fn(Flag) -> Rc<dyn Handler> + Send + 'static,
    {
        let (sender, receiver) = mpsc::channel();
        let thread_control = control.clone();
        let join = thread::Builder::new().name(name.into()).spawn(move || {
            let mut address = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
            while !thread_control.is_stopped() {
                block_on(serve_once(&mut address, &thread_control, &make_handler, &sender));
                while thread_control.is_down() && !thread_control.is_stopped() {
                    thread::sleep(POLL_INTERVAL);
                }
            }
        })?;
        let address = receiver.recv().map_err(|_| io::ErrorKind::AddrNotAvailable)?;
        Ok((address, Self { control, join: Some(join) }))
    }

    /// Stops the thread and waits for its end.
    pub fn stop(&mut self) {
        self.control.stop.store(true, Ordering::SeqCst);
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

/// Serves until the flag `down` or `stop` is set, and sends the bound address first.
async fn serve_once<M>(
    address: &mut SocketAddr,
    control: &Control,
    make_handler: &M,
    address_sender: &mpsc::Sender<SocketAddr>,
) where
    M: Fn(Flag) -> Rc<dyn Handler>,
{
    let stop = Flag::new();
    let options = Options { stop: stop.clone(), ..Options::default() };
    *address = bind(*address, &make_handler(stop.clone()), &options).await;
    let _ = address_sender.send(*address);
    while control.is_serving() {
        monoio::time::sleep(POLL_INTERVAL).await;
    }
    stop.set();
    monoio::time::sleep(CLOSE_DELAY).await;
}

/// Binds the address and repeats a failed attempt until the rebind timeout.
async fn bind(address: SocketAddr, handler: &Rc<dyn Handler>, options: &Options) -> SocketAddr {
    let start = Instant::now();
    loop {
        match listen(address, handler.clone(), options.clone()) {
            Ok(bound) => return bound.address(),
            Err(error) if start.elapsed() > REBIND_TIMEOUT => {
                panic!("can't bind `{address}`: {error}")
            }
            Err(_) => monoio::time::sleep(POLL_INTERVAL).await,
        }
    }
}
