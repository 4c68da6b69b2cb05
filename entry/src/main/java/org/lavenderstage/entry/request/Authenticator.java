package org.lavenderstage.entry.request;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.util.Optional;
import org.lavenderstage.core.ledger.StateDigest;
import org.lavenderstage.core.sheet.Sheet;
import org.lavenderstage.core.sheet.WorkspaceRow;

/**
 * Checks bearer tokens against the digests of the sheet. An unknown workspace takes the same time
 * as a wrong token.
 */
public final class Authenticator {
  private static final String SCHEME = "Bearer ";
  private static final byte[] NO_DIGEST = bytes("0".repeat(64));

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
    Optional<WorkspaceRow> row = sheet.workspace(workspace);
    byte[] expected = row.map(one -> bytes(one.tokenSha256())).orElse(NO_DIGEST);
    return MessageDigest.isEqual(given, expected) ? row : Optional.empty();
  }

  private static byte[] bytes(String text) {
    return text.getBytes(StandardCharsets.UTF_8);
  }
}
