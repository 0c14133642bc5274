//! What a controller is told.

use wheelfield_endpoints::EngineFileEvent;
use wheelfield_gossip::authentication::Keys;
use wheelfield_sans_io::IoEvent;

/// Something that happened outside the controller.
#[derive(Clone, Debug)]
pub enum GatewayEvent<'a> {
    /// The process has started. Comes first, once.
    Started,
    /// Something happened on a socket.
    Io(IoEvent<'a>),
    /// The endpoint files were read.
    EndpointFiles(EngineFileEvent),
    /// The file of the gossip keys was read.
    GossipKeys(Result<Keys, String>),
    /// A graceful shutdown was requested.
    ShutdownRequested,
    /// The capture that is held in memory was requested.
    CaptureRequested,
}
