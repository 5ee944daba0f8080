//! The current process of each peer.
//!
//! A process that is killed and started again on the same VM keeps the name and address of the
//! last one. What it sends means nothing beside the numbers of the last one, and datagrams of
//! the last one may arrive after it has begun to send
//! (see [docs/design/large.md](../../../../docs/design/large.md)).

use std::collections::{HashMap, VecDeque};

use crate::id::Incarnation;

/// The number of ended processes that are remembered of each peer; their datagrams are gone long
/// before as many restarts.
const MAX_ENDED: usize = 8;

/// Which process of a peer a message is from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Origin {
    /// The same as the last message.
    Current,
    /// One that was not heard before, so the last one has ended.
    New,
    /// One that has ended.
    Ended,
}

#[derive(Debug, Clone)]
struct Known {
    current: Incarnation,
    ended: VecDeque<Incarnation>,
}

/// The processes from which messages came, by the numbers of the peers.
#[derive(Debug, Clone, Default)]
pub struct Processes {
    peers: HashMap<u64, Known>,
}

impl Processes {
    /// Records a message of a peer, and tells which of its processes sent it.
    ///
    /// What earlier processes left behind has to be dropped if it is [`Origin::New`], and the
    /// message itself if it is [`Origin::Ended`].
    pub fn on_message(&mut self, peer: u64, process: Incarnation) -> Origin {
        let Some(known) = self.peers.get_mut(&peer) else {
            let known = Known {
                current: process,
                ended: VecDeque::new(),
            };
            self.peers.insert(peer, known);
            return Origin::New;
        };
        if known.current == process {
            return Origin::Current;
        }
        if known.ended.contains(&process) {
            return Origin::Ended;
        }
        if known.ended.len() == MAX_ENDED {
            known.ended.pop_front();
        }
        known.ended.push_back(known.current);
        known.current = process;
        Origin::New
    }
}
