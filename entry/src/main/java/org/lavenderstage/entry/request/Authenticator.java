package org.lavenderstage.entry.request;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.util.Optional;
import org.lavenderstage.core.ledger.StateDigest;
import org.lavenderstage.core.sheet.Sheet;
import org.lavenderstage.core.sheet.WorkspaceRow;

/** Checks bearer tokens against the digests of the sheet. */
public final class Authenticator {
  private static final String SCHEME = "Bearer ";

  private Authenticator() {}

  /**
   * Finds the workspace of a caller.
   *
   * @param sheet the sheet in force
   * @param workspace workspace that the caller names
   * @param authorization the Authorization header, empty for none
   * @return the workspace, empty where the token is not its own
   */
  public static Optional<WorkspaceRow> authenticate(
      Sheet sheet, String workspace, String authorization) {
    if (!authorization.startsWith(SCHEME)) {
      return Optional.empty();
    }
    byte[] given = bytes(StateDigest.sha256Hex(authorization.substring(SCHEME.length())));
    return sheet
        .workspace(workspace)
        .filter(row -> MessageDigest.isEqual(given, bytes(row.tokenSha256())));
  }

  private static byte[] bytes(String text) {
    return text.getBytes(StandardCharsets.UTF_8);
  }
}
