//! What a type expects to stand in a document.

use std::net::SocketAddr;

use crate::id::{
    CustomerId, DataCentreId, ModelId, RegionId, RequestId, ServiceId, UpstreamId, VmId,
};
use crate::units::{Bytes, Rate, Span, Tokens};

/// A type that tells what it expects, for the message when something else stands there.
pub trait Expect {
    /// What is expected, to follow the word.
    const EXPECTED: &'static str;

    /// Whether a value that could be read may stand in a document of ours.
    fn is_expected(&self) -> bool {
        true
    }
}

macro_rules! expect {
    ($($type:ty => $expected:literal),* $(,)?) => {
        $(impl Expect for $type {
            const EXPECTED: &'static str = $expected;
        })*
    };
}

expect! {
    bool => "true or false",
    u16 => "a whole number from 0 to 65535",
    u32 => "a whole number from 0 to 4294967295",
    u64 => "a whole number, 0 or more",
    String => "a text in quotes",
    SocketAddr => "an IP address with a port, such as \"10.1.2.3:8000\"",
    Tokens => "a count of tokens, such as 4000, \"4k\" or \"1M\"",
    Bytes => "a count of bytes, such as 65536, \"64KiB\" or \"8MiB\"",
    Rate => "a number a second, such as 200",
    Span => "a span of time in quotes, such as \"250ms\", \"5s\", \"2min\" or \"1h\"",
    DataCentreId => "a name in quotes, without white space or slash",
    ModelId => "a name in quotes, without white space or slash",
    RegionId => "a name in quotes, without white space or slash",
    RequestId => "a name in quotes, without white space or slash",
    UpstreamId => "a name in quotes, without white space or slash",
    VmId => "a name in quotes, without white space or slash",
}

macro_rules! expect_declared {
    ($($type:ty),*) => {
        $(impl Expect for $type {
            const EXPECTED: &'static str = "a name in quotes, without white space or slash";

            fn is_expected(&self) -> bool {
                self.as_str().parse::<Self>().is_ok()
            }
        })*
    };
}

expect_declared!(CustomerId, ServiceId);
