//! The events that a gateway handles.

use wheelfield_endpoints::EngineFileEvent;
use wheelfield_gossip::authentication::Keys;
use wheelfield_sans_io::IoEvent;

/// Something that happened outside the controller.
#[derive(Clone, Debug)]
pub enum GatewayEvent<'a> {
    /// The process has started. This is always the first event.
    Started,
    /// Something happened on a socket.
    Io(IoEvent<'a>),
    /// The endpoint files were read.
    EndpointFiles(EngineFileEvent),
    /// The file of the gossip keys was read.
    GossipKeys(Result<Keys, String>),
    /// A graceful shutdown was requested.
    ShutdownRequested,
    /// Writing the in-memory capture was requested.
    CaptureRequested,
}
