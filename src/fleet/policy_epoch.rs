//! Policy epochs: a change of policy that takes hold everywhere or nowhere.
