use std::net::SocketAddr;
use std::sync::Arc;

use coordination::fleet::TokenGrant;
use coordination::ids::CustomerId;
use tokio::net::UdpSocket;

use super::MeshAnswer;
use super::MeshClient;
use crate::entry::mesh_datagram::MeshDatagram;

/// Client of a process that has just started with a mesh address.
async fn start_client(address: SocketAddr) -> MeshClient {
    MeshClient::new(Arc::new(UdpSocket::bind(address).await.unwrap()))
}

/// Number of the next token request that a keeper receives for a customer.
async fn receive_number(keeper: &UdpSocket, expected: &str) -> u64 {
    let mut buffer = [0; 1_000];
    loop {
        let (length, _) = keeper.recv_from(&mut buffer).await.unwrap();
        match serde_json::from_slice(&buffer[..length]).unwrap() {
            MeshDatagram::TokenAsk { number, customer, .. } if *customer == *expected => {
                return number;
            }
            _ => {}
        }
    }
}

/// A customer once got the tokens of another one that the host had asked for before its restart.
#[tokio::test]
async fn an_answer_to_the_process_before_a_restart_is_dropped() {
    let keeper = UdpSocket::bind("127.0.0.1:0").await.unwrap();
    let keeper_address = keeper.local_addr().unwrap();
    let customers = ["one", "two"].map(CustomerId::from);
    let before = start_client(SocketAddr::from(([127, 0, 0, 1], 0))).await;
    let address = before.socket.local_addr().unwrap();
    let asked = tokio::join!(
        before.request_tokens(keeper_address, &customers[0], 5),
        receive_number(&keeper, "one")
    );
    drop(before);
    let after = start_client(address).await;
    let late_answer = async {
        let number = receive_number(&keeper, "two").await;
        after.receive_answer(asked.1, MeshAnswer::Tokens(TokenGrant::Tokens(5)));
        number
    };
    let (grant, number) =
        tokio::join!(after.request_tokens(keeper_address, &customers[1], 5), late_answer);
    assert_eq!((asked.0, grant), (None, None), "numbers {} and {number}", asked.1);
}
