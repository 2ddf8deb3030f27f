//! Bounds the framing overhead that a connection reads: all bytes that are no part of a body.
//!
//! The HTTP library limits heads, extensions and trailers each in its own way, and the digits of a chunk's
//! size not at all. Limits on heads and bodies never see such bytes, so they are counted below the library.

use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};
use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::task::{Context, Poll, ready};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// Most bytes that may be read since the last head or part of a body. It covers the longest head and what
/// the library reads ahead.
const OVERHEAD_BYTES_MAX: u64 = 64 * 1024;
/// Bytes that may be read for each byte of a body, for the framing of short chunks.
const FRAMING_FACTOR: u64 = 16;

#[derive(Debug)]
struct MeterCounts {
    overhead_max: u64,
    /// Bytes read since the message or its body began.
    read: AtomicU64,
    /// Bytes of the body.
    payload: AtomicU64,
    /// Value of `read` at the last part of the body.
    read_at_payload: AtomicU64,
    is_exceeded: AtomicBool,
}

/// Counts the bytes that a connection reads against those of the bodies. Clones share the counts.
#[derive(Debug, Clone)]
pub struct ReadMeter(Arc<MeterCounts>);

impl Default for ReadMeter {
    fn default() -> Self {
        Self::new(OVERHEAD_BYTES_MAX)
    }
}

impl ReadMeter {
    fn new(overhead_max: u64) -> Self {
        Self(Arc::new(MeterCounts {
            overhead_max,
            read: AtomicU64::new(0),
            payload: AtomicU64::new(0),
            read_at_payload: AtomicU64::new(0),
            is_exceeded: AtomicBool::new(false),
        }))
    }

    /// Creates the meter of a connection whose messages have heads of at most `bytes`.
    pub fn for_heads(bytes: usize) -> Self {
        let twice = u64::try_from(bytes.saturating_mul(2)).unwrap_or(u64::MAX);
        Self::new(OVERHEAD_BYTES_MAX.max(twice))
    }

    /// Begins to count a message, or its body once its head is complete.
    pub fn begin(&self) {
        self.0.read.store(0, Ordering::Relaxed);
        self.0.payload.store(0, Ordering::Relaxed);
        self.0.read_at_payload.store(0, Ordering::Relaxed);
    }

    /// Whether the connection failed since it read too much overhead.
    pub fn is_exceeded(&self) -> bool {
        self.0.is_exceeded.load(Ordering::Relaxed)
    }

    fn record_payload(&self, bytes: usize) {
        let bytes = u64::try_from(bytes).unwrap_or(u64::MAX);
        self.0.payload.fetch_add(bytes, Ordering::Relaxed);
        self.0.read_at_payload.store(self.0.read.load(Ordering::Relaxed), Ordering::Relaxed);
    }

    /// Counts bytes that were read. Returns whether they are within the bounds.
    fn record_read(&self, bytes: usize) -> bool {
        let counts = &self.0;
        let bytes = u64::try_from(bytes).unwrap_or(u64::MAX);
        let read = counts.read.fetch_add(bytes, Ordering::Relaxed).saturating_add(bytes);
        let overhead = read - counts.read_at_payload.load(Ordering::Relaxed).min(read);
        let framing = counts.payload.load(Ordering::Relaxed).saturating_mul(FRAMING_FACTOR);
        let is_allowed =
            overhead <= counts.overhead_max && read <= counts.overhead_max.saturating_add(framing);
        if !is_allowed {
            counts.is_exceeded.store(true, Ordering::Relaxed);
        }
        is_allowed
    }
}

/// A connection whose reads are counted. It fails when the meter's bounds are exceeded.
#[derive(Debug)]
pub struct MeteredStream<S> {
    stream: S,
    meter: ReadMeter,
}

impl<S> MeteredStream<S> {
    /// Counts the reads of `stream`.
    pub fn new(stream: S, meter: ReadMeter) -> Self {
        Self { stream, meter }
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for MeteredStream<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(context, buffer))?;
        if self.meter.record_read(buffer.filled().len() - before) {
            return Poll::Ready(Ok(()));
        }
        let text = "too many bytes that belong to no head or body";
        Poll::Ready(Err(io::Error::new(io::ErrorKind::InvalidData, text)))
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for MeteredStream<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(context, slices)
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

/// A body that tells its connection's meter the length of its parts.
#[derive(Debug)]
pub struct MeteredBody<B> {
    body: B,
    meter: ReadMeter,
}

impl<B> MeteredBody<B> {
    /// Counts the parts of `body` as payload.
    pub fn new(body: B, meter: ReadMeter) -> Self {
        Self { body, meter }
    }
}

impl<B: Body<Data = Bytes> + Unpin> Body for MeteredBody<B> {
    type Data = Bytes;
    type Error = B::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, B::Error>>> {
        let frame = ready!(Pin::new(&mut self.body).poll_frame(context));
        if let Some(Ok(frame)) = &frame {
            self.meter.record_payload(frame.data_ref().map_or(0, Bytes::len));
        }
        Poll::Ready(frame)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
