/// The key-value service didn't answer; a write may or may not have taken effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct StoreFault;
