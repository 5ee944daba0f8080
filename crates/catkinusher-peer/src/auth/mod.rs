//! Mutual challenge-response authentication of peers by a shared secret.
//!
//! The accepting end sends a random challenge, the opening end answers it and
//! adds one of its own, which the accepting end answers in turn. The two
//! answers are HMACs over both challenges with different labels, which prevents
//! reflection attacks: neither end's answer is valid for the other role.

use std::fmt;
use std::str::FromStr;

use futures_util::{SinkExt, StreamExt};
use hmac::{Hmac, KeyInit, Mac};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use sha2::Sha256;
use thiserror::Error;
use tokio_tungstenite::WebSocketStream;
use tokio_tungstenite::tungstenite::Message;

use crate::traffic::CountingStream;
use crate::wire;

/// Minimum length of a peer secret, in bytes.
pub const MIN_SECRET_LENGTH: usize = 16;

const CHALLENGE_LENGTH: usize = 32;

/// The secret shared by all daemons of a fleet; its formatted output is redacted.
#[derive(Clone, PartialEq, Eq, Deserialize)]
#[serde(try_from = "String")]
pub struct Secret(String);

/// The error for a peer secret that is too short.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[error("a peer secret has at least {MIN_SECRET_LENGTH} bytes")]
pub struct WeakSecret;

impl FromStr for Secret {
    type Err = WeakSecret;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        if text.len() < MIN_SECRET_LENGTH {
            return Err(WeakSecret);
        }
        Ok(Self(text.to_owned()))
    }
}

impl TryFrom<String> for Secret {
    type Error = WeakSecret;

    fn try_from(text: String) -> Result<Self, Self::Error> {
        text.parse()
    }
}

impl fmt::Debug for Secret {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Secret(..)")
    }
}

impl fmt::Display for Secret {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("(secret)")
    }
}

/// An error during the authentication of a connection.
#[derive(Debug, Error)]
pub enum AuthError {
    /// The other end's proof does not match the secret.
    #[error("the other end does not know the peer secret")]
    Forged,
    /// The connection closed or an unexpected message arrived.
    #[error("connection failed: {0}")]
    Broken(String),
}

#[derive(Debug, Serialize, Deserialize)]
struct Challenge {
    nonce: [u8; CHALLENGE_LENGTH],
}

#[derive(Debug, Serialize, Deserialize)]
struct Answer {
    nonce: [u8; CHALLENGE_LENGTH],
    proof: Vec<u8>,
}

#[derive(Debug, Serialize, Deserialize)]
struct Confirmation {
    proof: Vec<u8>,
}

fn transcript_mac(secret: &Secret, label: &[u8], first: &[u8], second: &[u8]) -> Hmac<Sha256> {
    let mut mac = <Hmac<Sha256> as KeyInit>::new_from_slice(secret.0.as_bytes())
        .expect("HMAC accepts a key of any length");
    mac.update(label);
    mac.update(first);
    mac.update(second);
    mac
}

const OPENING: &[u8] = b"catkinusher opening end";
const ACCEPTING: &[u8] = b"catkinusher accepting end";

/// Authenticates both ends to each other, on the accepting end.
///
/// # Errors
///
/// [`AuthError::Forged`] if the other end doesn't know the secret, and
/// [`AuthError::Broken`] if the connection ends first.
pub async fn accept(
    socket: &mut WebSocketStream<CountingStream>,
    secret: &Secret,
) -> Result<(), AuthError> {
    let nonce: [u8; CHALLENGE_LENGTH] = rand::random();
    send(socket, &Challenge { nonce }).await?;
    let answer: Answer = receive(socket).await?;
    transcript_mac(secret, OPENING, &nonce, &answer.nonce)
        .verify_slice(&answer.proof)
        .map_err(|_mismatch| AuthError::Forged)?;
    let proof = transcript_mac(secret, ACCEPTING, &nonce, &answer.nonce);
    let proof = proof.finalize().into_bytes().to_vec();
    send(socket, &Confirmation { proof }).await
}

/// Authenticates both ends to each other, on the opening end.
///
/// # Errors
///
/// As for [`accept`].
pub async fn open(
    socket: &mut WebSocketStream<CountingStream>,
    secret: &Secret,
) -> Result<(), AuthError> {
    let challenge: Challenge = receive(socket).await?;
    let nonce: [u8; CHALLENGE_LENGTH] = rand::random();
    let proof = transcript_mac(secret, OPENING, &challenge.nonce, &nonce);
    let proof = proof.finalize().into_bytes().to_vec();
    send(socket, &Answer { nonce, proof }).await?;
    let confirmation: Confirmation = receive(socket).await?;
    transcript_mac(secret, ACCEPTING, &challenge.nonce, &nonce)
        .verify_slice(&confirmation.proof)
        .map_err(|_mismatch| AuthError::Forged)
}

async fn send<T>(socket: &mut WebSocketStream<CountingStream>, value: &T) -> Result<(), AuthError>
where
    T: Serialize,
{
    let bytes = wire::encode(value).map_err(|e| AuthError::Broken(e.to_string()))?;
    socket
        .send(Message::Binary(bytes))
        .await
        .map_err(|e| AuthError::Broken(e.to_string()))
}

async fn receive<T>(socket: &mut WebSocketStream<CountingStream>) -> Result<T, AuthError>
where
    T: DeserializeOwned,
{
    match socket.next().await {
        Some(Ok(Message::Binary(bytes))) => {
            wire::decode(&bytes).map_err(|e| AuthError::Broken(e.to_string()))
        }
        Some(Ok(_)) => Err(AuthError::Broken("unexpected message type".to_owned())),
        Some(Err(error)) => Err(AuthError::Broken(error.to_string())),
        // The accepting end closes the connection without a message if the proof is invalid.
        None => Err(AuthError::Forged),
    }
}
