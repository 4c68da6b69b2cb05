/**
 * Interfaces to the platform that lavenderstage runs on. Another transport needs one implementation
 * of each interface.
 */
package org.lavenderstage.clients;
