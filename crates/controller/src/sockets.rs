//! The sockets of a controller's connections: bytes in, bytes out, as far as each side has room.

use mio::net::TcpStream;
use mio::{Registry, Token};
use std::io;
use std::net::SocketAddr;
use wheelfield_net::Socket;
use wheelfield_sans_io::{ConnId, IoEvent, Protocol};

/// Rooms of a controller that own connections.
const ROOMS: usize = 8;
/// Read at a time, by whichever connection.
const SCRATCH: usize = 64 << 10;

/// All sockets, by room and place.
pub(crate) struct Sockets {
    rooms: [Vec<Option<(ConnId, Socket)>>; ROOMS],
    scratch: Vec<u8>,
}

fn token(id: ConnId) -> Token {
    // Numbers of connections are far above the tokens of listeners.
    Token(id.as_u64() as usize)
}

impl Sockets {
    pub fn new() -> Sockets {
        Sockets { rooms: Default::default(), scratch: vec![0; SCRATCH] }
    }

    fn get(&mut self, id: ConnId) -> Option<&mut Socket> {
        let place = self.rooms.get_mut(usize::from(id.owner()))?.get_mut(id.slot())?;
        place.as_mut().filter(|(of, _)| *of == id).map(|(_, socket)| socket)
    }

    fn put(&mut self, id: ConnId, socket: Socket) {
        let room = &mut self.rooms[usize::from(id.owner()) % ROOMS];
        if room.len() <= id.slot() {
            room.resize_with(id.slot() + 1, || None);
        }
        // Closes the connection that had this slot, if that is still to be done: many may be replaced in one turn.
        room[id.slot()] = Some((id, socket));
    }

    /// A connection that was accepted. What came with it is read.
    pub fn accepted(
        &mut self,
        id: ConnId,
        tcp: TcpStream,
        registry: &Registry,
        core: &mut dyn Protocol,
        now: i64,
    ) {
        match Socket::new(tcp, true, registry, token(id)) {
            Ok(socket) => {
                self.put(id, socket);
                self.read(id, core, now);
            }
            Err(e) => broken(id, false, &e, core, now),
        }
    }

    /// Begins a connect.
    pub fn connect(
        &mut self,
        id: ConnId,
        to: SocketAddr,
        registry: &Registry,
        core: &mut dyn Protocol,
        now: i64,
    ) {
        match TcpStream::connect(to).and_then(|tcp| Socket::new(tcp, false, registry, token(id))) {
            Ok(socket) => self.put(id, socket),
            Err(e) => broken(id, true, &e, core, now),
        }
    }

    /// The system told something of a connection.
    pub fn on(&mut self, event: &mio::event::Event, core: &mut dyn Protocol, now: i64) {
        let id = ConnId::from_u64(event.token().0 as u64);
        let Some(socket) = self.get(id) else { return };
        let connecting = matches!(socket.connected(), Ok(false));
        socket.on(event);
        if connecting {
            match socket.connected() {
                Ok(true) => core.handle_io(now, IoEvent::Connected(id)),
                Ok(false) => return,
                Err(e) => return broken(id, true, &e, core, now),
            }
        }
        if self.get(id).is_some_and(|s| s.closing()) {
            core.handle_io(now, IoEvent::Closing(id));
        }
        self.read(id, core, now);
        self.write(id, core, now);
    }

    /// Reads what there is, as far as the controller has room.
    pub fn read(&mut self, id: ConnId, core: &mut dyn Protocol, now: i64) {
        loop {
            if !self.get(id).is_some_and(|s| s.readable()) {
                return;
            }
            let room = core.read_capacity(id).min(SCRATCH);
            if room == 0 {
                return;
            }
            let mut scratch = std::mem::take(&mut self.scratch);
            let Some(socket) = self.get(id) else { return };
            let got = socket.read(&mut scratch[..room]);
            let ended = socket.ended();
            match got {
                Ok(0) if ended => core.handle_io(now, IoEvent::Ended(id)),
                Ok(0) => {}
                Ok(n) => core.handle_io(now, IoEvent::Received(id, &scratch[..n])),
                Err(e) => broken(id, false, &e, core, now),
            }
            self.scratch = scratch;
        }
    }

    /// Writes what is to go, as far as the other side takes it.
    pub fn write(&mut self, id: ConnId, core: &mut dyn Protocol, now: i64) {
        loop {
            let Some(socket) = self.get(id).filter(|s| s.writable()) else { return };
            if !matches!(socket.connected(), Ok(true)) {
                return;
            }
            match socket.write(core.output(id)) {
                Ok(0) => return,
                Ok(n) => core.bytes_written(now, id, n),
                Err(e) => return broken(id, true, &e, core, now),
            }
        }
    }

    /// Closes a connection, and frees its place.
    pub fn close(&mut self, id: ConnId, registry: &Registry) {
        let place = self.rooms.get_mut(usize::from(id.owner())).and_then(|r| r.get_mut(id.slot()));
        if let Some((_, socket)) = place.and_then(|p| p.take_if(|(of, _)| *of == id)) {
            socket.close(registry, false);
        }
    }
}

fn broken(id: ConnId, writing: bool, e: &io::Error, core: &mut dyn Protocol, now: i64) {
    core.handle_io(
        now,
        IoEvent::Broken {
            id,
            writing,
            refused: e.kind() == io::ErrorKind::ConnectionRefused,
            reason: &e.to_string(),
        },
    );
}
