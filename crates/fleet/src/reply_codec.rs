//! Encoding of replies to pulls. Long ones are compressed: a whole data centre pulls a large
//! configuration at once, over links that carry a megabyte a second.

use crate::datagram::PullReply;
use std::fmt;

/// Length from which a reply is compressed, in bytes.
const COMPRESSED_BYTES_MIN: usize = 2 * 1024;
/// Longest accepted reply after decompression, in bytes.
const REPLY_BYTES_MAX: usize = 64 * 1024 * 1024;
/// Bytes before a compressed reply that hold its length.
const LENGTH_BYTES: usize = 4;

/// Encoding of a reply, named in the headers of the exchange.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReplyEncoding {
    /// As it is.
    Plain,
    /// Compressed with LZ4, after its length.
    Lz4,
}

impl ReplyEncoding {
    /// Returns the name in headers.
    pub fn name(self) -> &'static str {
        match self {
            Self::Plain => "identity",
            Self::Lz4 => "lz4",
        }
    }

    /// Returns the encoding that a header names, plain if there is none; `None` if it is unknown.
    pub fn from_header(value: Option<&[u8]>) -> Option<Self> {
        match value {
            None | Some(b"identity") => Some(Self::Plain),
            Some(b"lz4") => Some(Self::Lz4),
            Some(_) => None,
        }
    }
}

/// The error for bytes that are no reply.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ReplyError {
    /// The reply would exceed the longest accepted one; its length in bytes.
    TooLong(usize),
    /// The compressed bytes are malformed.
    Compression,
    /// The decompressed bytes are malformed.
    Format(postcard::Error),
}

impl fmt::Display for ReplyError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::TooLong(length) => write!(f, "a reply of {length} bytes is too long"),
            Self::Compression => write!(f, "the reply cannot be decompressed"),
            Self::Format(cause) => write!(f, "the reply is malformed: {cause}"),
        }
    }
}

impl std::error::Error for ReplyError {}

impl PullReply {
    /// Encodes the reply for an instance that accepts `accepted`. Returns the bytes and the encoding
    /// used.
    ///
    /// # Errors
    /// The reply cannot be serialized.
    pub fn encode(
        &self,
        accepted: ReplyEncoding,
    ) -> Result<(Vec<u8>, ReplyEncoding), postcard::Error> {
        let bytes = postcard::to_stdvec(self)?;
        if accepted == ReplyEncoding::Plain || bytes.len() < COMPRESSED_BYTES_MIN {
            return Ok((bytes, ReplyEncoding::Plain));
        }
        Ok((lz4_flex::compress_prepend_size(&bytes), ReplyEncoding::Lz4))
    }

    /// Decodes a reply.
    ///
    /// # Errors
    /// The bytes are no reply, or a longer one than is accepted.
    pub fn decode(bytes: &[u8], encoding: ReplyEncoding) -> Result<Self, ReplyError> {
        match encoding {
            ReplyEncoding::Plain => postcard::from_bytes(bytes).map_err(ReplyError::Format),
            ReplyEncoding::Lz4 => {
                let length = bytes.first_chunk::<LENGTH_BYTES>().ok_or(ReplyError::Compression)?;
                let length = u32::from_le_bytes(*length) as usize;
                if length > REPLY_BYTES_MAX {
                    return Err(ReplyError::TooLong(length));
                }
                let plain = lz4_flex::decompress_size_prepended(bytes)
                    .map_err(|_| ReplyError::Compression)?;
                postcard::from_bytes(&plain).map_err(ReplyError::Format)
            }
        }
    }
}
