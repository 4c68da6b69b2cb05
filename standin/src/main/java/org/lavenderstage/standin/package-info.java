/** Fakes of the platform's services, each of which runs embedded or in a process of its own. */
package org.lavenderstage.standin;
