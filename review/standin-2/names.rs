//! The name service: SRV, A and TXT records by DNS over UDP.

use crate::executor::Executor;
use std::net::{IpAddr, SocketAddr, UdpSocket};

const SERVICE: &str = "_rpc._tcp.mesh.local";
const ZONE: &str = "kigali-dc";
const KIND: &str = "std-a";

/// The number of the list's last event.
const SERIAL: u32 = 1;

/// Starts a name service that answers every query with the whole list.
pub fn start(executors: &[Executor]) -> std::io::Result<SocketAddr> {
    let socket = UdpSocket::bind("127.0.0.1:0")?;
    let address = socket.local_addr()?;
    let records = records(executors);
    std::thread::spawn(move || {
        let mut query = [0; 512];
        while let Ok((length, from)) = socket.recv_from(&mut query) {
            if length >= 2 {
                let answer = [&query[..2], &records[..]].concat();
                let _ = socket.send_to(&answer, from);
            }
        }
    });
    Ok(address)
}

/// The list of the start, for the configuration.
pub fn known(executors: &[Executor]) -> String {
    let servers: Vec<String> = executors
        .iter()
        .map(|executor| {
            format!(
                r#"{{"id":"{}","addr":"{}","zone":"{ZONE}","kind":"{KIND}","cell":{},"state":"ready","weight":4,"started_ms":0}}"#,
                executor.name, executor.address, executor.index
            )
        })
        .collect();
    format!(
        r#"{{"cursor":{SERIAL},"cmds":[{{"cursor":{SERIAL},"nodes":{{"version":1,"full":true,"servers":[{}]}}}}]}}"#,
        servers.join(",")
    )
}

/// An answer without its id.
fn records(executors: &[Executor]) -> Vec<u8> {
    let count = executors.len() as u16;
    let mut out = vec![0x84, 0x00];
    for n in [1, count, 1, 2 * count] {
        out.extend(n.to_be_bytes());
    }
    name(&mut out, SERVICE);
    out.extend([0, 33, 0, 1]);
    let host = |executor: &Executor| format!("{}.{ZONE}.hosts", executor.name);
    for executor in executors {
        let mut data = Vec::new();
        for n in [0, 40, executor.address.port()] {
            data.extend(n.to_be_bytes());
        }
        name(&mut data, &host(executor));
        resource(&mut out, SERVICE, 33, &data);
    }
    let mut data = Vec::new();
    name(&mut data, "ns.mesh.local");
    name(&mut data, "admin.mesh.local");
    for n in [SERIAL, 1, 1, 1, 1] {
        data.extend(n.to_be_bytes());
    }
    resource(&mut out, "mesh.local", 6, &data);
    for executor in executors {
        if let IpAddr::V4(address) = executor.address.ip() {
            resource(&mut out, &host(executor), 1, &address.octets());
        }
        let mut data = Vec::new();
        for text in [
            format!("kind={KIND}"),
            format!("cell={}", executor.index),
            "started=0".into(),
        ] {
            data.push(text.len() as u8);
            data.extend(text.as_bytes());
        }
        resource(&mut out, &host(executor), 16, &data);
    }
    out
}

fn name(out: &mut Vec<u8>, name: &str) {
    for label in name.split('.') {
        out.push(label.len() as u8);
        out.extend(label.as_bytes());
    }
    out.push(0);
}

fn resource(out: &mut Vec<u8>, owner: &str, kind: u16, data: &[u8]) {
    name(out, owner);
    out.extend(kind.to_be_bytes());
    out.extend([0, 1, 0, 0, 0, 5]);
    out.extend((data.len() as u16).to_be_bytes());
    out.extend(data);
}
