//! Bytes that the process holds for a client.

use carobshore_lib::memory_budget::client_id::ClientId;

use crate::clients::Clients;

/// Bytes that the process holds for a client, released when they are dropped.
#[derive(Debug)]
pub struct HeldBytes {
    clients: Clients,
    client: ClientId,
    bytes: u64,
    /// Whether the client is not a connection, and leaves the table with these bytes.
    own: bool,
}

impl HeldBytes {
    pub(crate) fn of_connection(clients: Clients, client: ClientId) -> Self {
        Self {
            clients,
            client,
            bytes: 0,
            own: false,
        }
    }

    pub(crate) fn of_response(clients: Clients, client: ClientId) -> Self {
        Self {
            clients,
            client,
            bytes: 0,
            own: true,
        }
    }

    /// Returns the number of bytes.
    pub fn bytes(&self) -> u64 {
        self.bytes
    }

    /// Changes the number of bytes. Returns whether there is that much memory.
    pub fn resize(&mut self, bytes: u64) -> bool {
        let resized = bytes == self.bytes || self.clients.resize(self.client, self.bytes, bytes);
        if resized {
            self.bytes = bytes;
        }
        resized
    }

    /// Raises the number of bytes to that of a buffer that exists already.
    pub fn force(&mut self, bytes: u64) {
        let more = bytes.saturating_sub(self.bytes);
        self.clients.force(self.client, more);
        self.bytes += more;
    }

    /// Counts the bytes apart from their connection, which may end before they are released.
    pub fn detach(self) -> Self {
        let bytes = self.bytes;
        let clients = self.clients.clone();
        drop(self);
        let client = clients.detach(bytes);
        Self {
            clients,
            client,
            bytes,
            own: true,
        }
    }
}

impl Drop for HeldBytes {
    fn drop(&mut self) {
        match self.own {
            true => self.clients.remove(self.client),
            false => {
                self.clients.resize(self.client, self.bytes, 0);
            }
        }
    }
}
