//! The edge between the nodes: one tarpc conversation for each peer.
