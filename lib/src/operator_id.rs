//! The id of an operator.

crate::name_type!(
    /// Identifies the operator who published an intent or a confirm, so that another operator whose
    /// change conflicts knows whom to ask.
    OperatorId,
    "operator id"
);
