//! Relays bytes over one link with its latency; while the link is cut, they wait.

use std::io;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use bytes::BytesMut;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::net::tcp::OwnedReadHalf;
use tokio::net::tcp::OwnedWriteHalf;
use tokio::sync::mpsc;
use tokio::time::Instant;

use crate::network::LinkCut;
use crate::network::LinkTable;

const PIECE_BYTES: usize = 64 * 1024;
/// Limit of pieces in flight in one direction; at the limit the relay stops reading from the sender.
const MAX_PIECES_IN_FLIGHT: usize = 256;

/// One direction of a link between two failure domains.
#[derive(Clone)]
pub struct LinkDirection {
    /// State of the network that the link belongs to.
    pub links: Arc<LinkTable>,
    /// Failure domain of the sender.
    pub from: Box<str>,
    /// Failure domain of the receiver.
    pub to: Box<str>,
}

struct DelayedPiece {
    due: Instant,
    bytes: Bytes,
}

impl LinkDirection {
    /// Returns the opposite direction of the same link.
    pub fn reversed(&self) -> Self {
        Self { links: Arc::clone(&self.links), from: self.to.clone(), to: self.from.clone() }
    }

    /// One-way latency from sender to receiver.
    pub fn latency(&self) -> Duration {
        self.links.latency(&self.from, &self.to)
    }

    /// Whether new connections are refused now.
    pub fn refuses(&self) -> bool {
        let cut = self.links.cut_of(&self.from, &self.to);
        cut.is_some_and(|cut| cut != LinkCut::Silent)
    }

    /// Waits until the link is not silent in this direction.
    pub async fn wait_connected(&self) {
        self.links.wait_connected(&self.from, &self.to).await;
    }
}

/// Relays bytes in both directions until one connection fails, both have been closed, or the link resets them.
pub async fn relay_both_ways(near: TcpStream, far: TcpStream, direction: LinkDirection) {
    let _ = near.set_nodelay(true);
    let _ = far.set_nodelay(true);
    let (near_reader, near_writer) = near.into_split();
    let (far_reader, far_writer) = far.into_split();
    let back = direction.reversed();
    let reset = direction.clone();
    tokio::select! {
        _ = async {
            tokio::try_join!(
                relay_one_way(near_reader, far_writer, direction),
                relay_one_way(far_reader, near_writer, back)
            )
        } => {}
        () = reset.links.wait_reset(&reset.from, &reset.to) => {}
    }
}

async fn relay_one_way(
    reader: OwnedReadHalf,
    writer: OwnedWriteHalf,
    direction: LinkDirection,
) -> io::Result<()> {
    let (sender, receiver) = mpsc::channel(MAX_PIECES_IN_FLIGHT);
    let latency = direction.latency();
    tokio::try_join!(
        read_pieces(reader, sender, latency),
        write_pieces(writer, receiver, direction)
    )
    .map(drop)
}

async fn read_pieces(
    mut reader: OwnedReadHalf,
    sender: mpsc::Sender<DelayedPiece>,
    latency: Duration,
) -> io::Result<()> {
    loop {
        let mut buffer = BytesMut::with_capacity(PIECE_BYTES);
        let count = reader.read_buf(&mut buffer).await?;
        let due = Instant::now() + latency;
        let piece = DelayedPiece { due, bytes: buffer.freeze() };
        if sender.send(piece).await.is_err() || count == 0 {
            return Ok(());
        }
    }
}

async fn write_pieces(
    mut writer: OwnedWriteHalf,
    mut receiver: mpsc::Receiver<DelayedPiece>,
    direction: LinkDirection,
) -> io::Result<()> {
    while let Some(piece) = receiver.recv().await {
        tokio::time::sleep_until(piece.due).await;
        direction.wait_connected().await;
        match piece.bytes.is_empty() {
            true => writer.shutdown().await?,
            false => writer.write_all(&piece.bytes).await?,
        }
    }
    Ok(())
}
