//! The datagrams that nodes send to each other.
//!
//! They carry no field names, as they are sent often and traffic between data
//! centres is costly.

use std::net::SocketAddr;

use catkinusher_core::confirm::ConfirmReply;
use catkinusher_core::feed::Batch;
use catkinusher_core::fingerprint::Fingerprint;
use catkinusher_core::fleet::{Cell, LimitReport, Load, Pressure};
use catkinusher_core::id::{DataCentreId, Incarnation, Serial, ServiceId};
use catkinusher_core::object::Version;
use catkinusher_core::placer::{Answer, Ask};
use catkinusher_core::poison::{Condemned, CrashReport, Inquiry, InquiryReply};
use serde::{Deserialize, Serialize};
use serde_json::Value;
use tokio::net::UdpSocket;
use tracing::{debug, warn};

/// The largest message, well within one datagram.
pub(super) const MAX_MESSAGE_BYTES: usize = 8 * 1024;

/// The load that one node causes at the upstreams of some cells: all of it, or the changes since the last report.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(into = "ReportRow", from = "ReportRow")]
pub(in crate::gateway) struct Report {
    pub(super) node: u64,
    pub(super) incarnation: Incarnation,
    pub(super) sequence: u64,
    pub(super) is_full: bool,
    /// The serial of the last grant that it covers.
    pub(super) granted: Serial,
    pub(super) loads: Vec<(u32, Load)>,
}

/// The fields of a [`Report`] in order.
type ReportRow = (u64, Incarnation, u64, bool, Serial, Vec<(u32, Load)>);

impl From<Report> for ReportRow {
    fn from(report: Report) -> Self {
        let Report {
            node,
            incarnation,
            sequence,
            is_full,
            granted,
            loads,
        } = report;
        (node, incarnation, sequence, is_full, granted, loads)
    }
}

impl From<ReportRow> for Report {
    fn from((node, incarnation, sequence, is_full, granted, loads): ReportRow) -> Self {
        Self {
            node,
            incarnation,
            sequence,
            is_full,
            granted,
            loads,
        }
    }
}

/// An ask, with the node that it comes from.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(into = "QuestionRow", from = "QuestionRow")]
pub(in crate::gateway) struct Question {
    /// The number of the asking node in its reports.
    pub(in crate::gateway) node: u64,
    /// The address of the asking node, if another one has passed the ask on.
    pub(in crate::gateway) reply_to: Option<SocketAddr>,
    pub(in crate::gateway) ask: Ask,
}

/// The fields of a [`Question`] in order.
type QuestionRow = (u64, Option<SocketAddr>, Ask);

impl From<Question> for QuestionRow {
    fn from(question: Question) -> Self {
        (question.node, question.reply_to, question.ask)
    }
}

impl From<QuestionRow> for Question {
    fn from((node, reply_to, ask): QuestionRow) -> Self {
        Self {
            node,
            reply_to,
            ask,
        }
    }
}

/// A kind of object whose changes are passed between nodes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub(in crate::gateway) enum Feed {
    Upstreams,
    Drained,
    Nodes,
    Quarantine,
}

impl Feed {
    /// All kinds, in the order of the positions in a query.
    pub(in crate::gateway) const ALL: [Self; 4] = [
        Self::Upstreams,
        Self::Drained,
        Self::Nodes,
        Self::Quarantine,
    ];

    /// The name of the kind in logs and metrics.
    pub(in crate::gateway) const fn name(self) -> &'static str {
        match self {
            Self::Upstreams => "feed-upstreams",
            Self::Drained => "feed-drained",
            Self::Nodes => "feed-nodes",
            Self::Quarantine => "feed-quarantine",
        }
    }
}

/// A message between nodes.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub(in crate::gateway) enum Message {
    /// The load that the sender causes at upstreams.
    #[serde(rename = "r")]
    Report(Report),
    /// Asks when the configuration was last confirmed; the reply repeats the serial.
    ///
    /// The positions up to which the sender has seen each kind of [`Feed::ALL`]
    /// follow, so that it gets the changes since.
    #[serde(rename = "a")]
    ConfirmQuery(Serial, Vec<Version>),
    /// The reply to a query.
    #[serde(rename = "w")]
    ConfirmReply(ConfirmReply),
    /// What answers to the sender showed about the limits that upstreams name.
    #[serde(rename = "m")]
    Limits(Vec<LimitReport>),
    /// Changes of one kind of object in the store.
    #[serde(rename = "c")]
    Changes(Feed, Batch<Value>),
    /// Asks where a request should run.
    #[serde(rename = "q")]
    Ask(Question),
    /// Tells where it should run.
    #[serde(rename = "p")]
    Answer(Answer),
    /// How busy a cell is in which the sender places the requests.
    #[serde(rename = "l")]
    Pressure(ServiceId, DataCentreId, Pressure),
    /// An upstream broke a request off that it had not begun to answer.
    #[serde(rename = "b")]
    BrokenOff(CrashReport),
    /// Asks whether suspected content is known to be sound.
    #[serde(rename = "i")]
    Inquiry(Inquiry),
    /// Tells what of it is.
    #[serde(rename = "s")]
    InquiryReply(InquiryReply),
    /// Content that crashes upstreams.
    #[serde(rename = "x")]
    Quarantined(Vec<Condemned>),
    /// Content that was in quarantine and has been answered.
    #[serde(rename = "f")]
    Released(Vec<Fingerprint>),
}

impl Message {
    /// The message that tells how busy a cell is, if it is one of several.
    pub(in crate::gateway) fn pressure(cell: Cell, pressure: Pressure) -> Option<Self> {
        let data_centre = cell.data_centre?;
        Some(Self::Pressure(cell.service, data_centre, pressure))
    }
}

/// Sends a message; one that cannot be sent counts as lost.
pub(in crate::gateway) fn send(socket: &UdpSocket, message: &Message, peer: SocketAddr) {
    let mut bytes = Vec::new();
    if let Err(error) = ciborium::into_writer(message, &mut bytes) {
        warn!("peers: cannot encode a message: {error}");
        return;
    }
    if let Err(error) = socket.try_send_to(&bytes, peer) {
        debug!("peers: cannot send to {peer}: {error}");
    }
}
