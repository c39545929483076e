//! The id of an operator.

crate::name_type!(
    /// Names the operator who published an intent or a confirm, so that the other one of a pair can
    /// be told whom to ask.
    OperatorId,
    "operator id"
);
