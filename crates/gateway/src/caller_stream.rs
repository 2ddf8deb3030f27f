//! A connection with a write timeout.
//!
//! A response stays in memory until its caller has read it. A connection whose caller reads nothing for
//! half a second fails once the write deadline has passed, or while other responses wait for memory. A
//! caller that reads its response slowly gets all of it.

use crate::state::GatewayState;
use link::MeteredStream;
use smol_str::format_smolstr;
use std::cell::Cell;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::{Instant, Sleep};

/// Shortest time from a response to its write deadline.
const WRITE_PERIOD_MIN: Duration = Duration::from_secs(1);
/// Time from a response to its write deadline if it states none.
const WRITE_PERIOD_DEFAULT: Duration = Duration::from_secs(5);
/// Time without progress after which a connection counts as stalled.
const STALL_MAX: Duration = Duration::from_millis(500);
/// Interval between checks of a connection that makes no progress.
const STALL_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Time by which the caller should have read a response, as an extension of the response.
#[derive(Debug, Clone, Copy)]
pub(crate) struct WriteDeadline(pub std::time::Instant);

/// Write deadline of the present response on a connection. Clones share it.
#[derive(Debug, Clone)]
pub(crate) struct WriteLimit(Rc<Cell<Instant>>);

impl WriteLimit {
    pub fn new() -> Self {
        Self(Rc::new(Cell::new(Instant::now() + WRITE_PERIOD_DEFAULT)))
    }

    /// Begins a response, which may state a deadline.
    pub fn begin(&self, deadline: Option<WriteDeadline>) {
        let now = Instant::now();
        self.0.set(match deadline {
            Some(WriteDeadline(at)) => (now + WRITE_PERIOD_MIN).max(at.into()),
            None => now + WRITE_PERIOD_DEFAULT,
        });
    }
}

/// A write that the other end does not let finish.
struct WriteStall {
    since: Instant,
    check: Pin<Box<Sleep>>,
}

/// A connection that fails if its other end reads nothing for too long.
pub(crate) struct CallerStream {
    state: Rc<GatewayState>,
    stream: MeteredStream<TcpStream>,
    limit: WriteLimit,
    stall: Option<WriteStall>,
}

impl CallerStream {
    pub fn new(
        state: Rc<GatewayState>,
        stream: MeteredStream<TcpStream>,
        limit: WriteLimit,
    ) -> Self {
        Self { state, stream, limit, stall: None }
    }

    /// Passes on the result of a write, or fails if the connection has stalled for too long.
    fn check_write(
        &mut self,
        context: &mut Context<'_>,
        result: Poll<io::Result<usize>>,
    ) -> Poll<io::Result<usize>> {
        if result.is_ready() {
            self.stall = None;
            return result;
        }
        let stall = self.stall.get_or_insert_with(|| WriteStall {
            since: Instant::now(),
            check: Box::pin(tokio::time::sleep(STALL_CHECK_INTERVAL)),
        });
        loop {
            ready!(stall.check.as_mut().poll(context));
            let now = Instant::now();
            let is_stalled = now - stall.since >= STALL_MAX;
            let cause = if is_stalled && now >= self.limit.0.get() {
                "deadline"
            } else if is_stalled && self.state.response_bodies.is_wanted() {
                "memory"
            } else {
                stall.check.as_mut().reset(now + STALL_CHECK_INTERVAL);
                continue;
            };
            self.state.metrics.write_timeout(cause);
            let detail = format_smolstr!("{cause}, after {} ms", (now - stall.since).as_millis());
            self.state.log.state("write_timeout", &detail);
            return Poll::Ready(Err(io::Error::new(io::ErrorKind::TimedOut, cause)));
        }
    }
}

impl AsyncRead for CallerStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(context, buffer)
    }
}

impl AsyncWrite for CallerStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut self.stream).poll_write(context, bytes);
        self.check_write(context, result)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut self.stream).poll_write_vectored(context, slices);
        self.check_write(context, result)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
