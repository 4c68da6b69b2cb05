package org.lavenderstage.core.job;

/** A record that the entries keep in the platform's store, each under its own key. */
public sealed interface StoredRecord
    permits JobRecord, MemberRecord, OwnerRecord, ProgressRecord, WorkerRecord {}
