//! Connection ids and reset tokens that outlive a restart.

use std::{sync::Arc, time::Duration};

use quinn::{ConnectionIdGenerator, EndpointConfig};
use quinn_proto::HashedConnectionIdGenerator;
use ring::hmac;
use shallotlead_base::name;

/// Least time between two resets, so that hundreds of peers find out about a restart within a second.
const MIN_RESET_INTERVAL: Duration = Duration::from_millis(2);

/// Configuration whose keys follow from `secret` and the instance's name: the same in each life.
///
/// Guards against a peer that died and came back at the same address: others go on sending into
/// connections that the new process does not know, and their messages vanish until a timeout. With
/// the same keys, the new process recognises the connection ids as its own and answers with a
/// stateless reset that the others believe.
pub(crate) fn endpoint_config(secret: &[u8], name: &name::Instance) -> EndpointConfig {
    let root = hmac::Key::new(hmac::HMAC_SHA256, secret);
    let derive = |label: &str| hmac::sign(&root, format!("{label} {name}").as_bytes());
    let token_key = hmac::Key::new(hmac::HMAC_SHA256, derive("reset tokens").as_ref());
    let mut id_key = [0; 8];
    id_key.copy_from_slice(&derive("connection ids").as_ref()[..8]);
    let id_key = u64::from_be_bytes(id_key);

    let mut config = EndpointConfig::new(Arc::new(token_key));
    config.min_reset_interval(MIN_RESET_INTERVAL);
    config.cid_generator(move || -> Box<dyn ConnectionIdGenerator> {
        Box::new(HashedConnectionIdGenerator::from_key(id_key))
    });
    config
}
